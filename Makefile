PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

.PHONY: test demo setup format bench bench-relay faults

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python -m pytest -n 5 --dist worksteal -m 'not crowd'
	$(BIN)/python -m pytest -m crowd

demo: setup
	$(BIN)/python -m standins.demo

SEED ?= 0
MINUTES ?= 1

# make faults FRONT=entry: the entry daemon in place of the product's own
FRONT ?= node
FAULTS_MODULE := $(if $(filter entry,$(FRONT)),faults.entry_soak,faults)

faults: setup
	$(BIN)/python -m $(FAULTS_MODULE) --seed $(SEED) --minutes $(MINUTES)

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# make bench SCENARIO=lakeshore-game-night SEEDS=1,2,3
SCENARIO ?= all
SEEDS ?= 1,2,3
bench: setup
	$(BIN)/python -m bench --scenario $(SCENARIO) --seeds $(SEEDS)

bench-relay: setup
	$(BIN)/python -m bench.relay
