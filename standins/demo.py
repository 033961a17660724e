"""Demo: runs one end-to-end path over real processes and prints each step."""

import subprocess
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from standins.engine import expected_answer
from standins.fleet import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    Fleet,
    HttpError,
    request,
)

EXAMPLE = Path(__file__).parent.parent / "examples" / "lakeshore.toml"
NODES = ("node-1", "node-2", "node-3")
EXIT_FAILED = 1


class StepFailedError(Exception):
    """A step of the demo failed."""


def require(condition: bool, failure: str) -> None:
    """Raise StepFailedError unless ``condition``."""
    if not condition:
        raise StepFailedError(failure)


def step(text: str, action: Callable[[], str]) -> None:
    """Run one step and print its result and duration."""
    started_s = time.monotonic()
    print(f"- {text} ...", flush=True)
    result = action()
    print(f"    ok, {time.monotonic() - started_s:.2f} s: {result}", flush=True)


def start_all(fleet: Fleet) -> str:
    """Start the stand-ins and three daemons."""
    fleet.start_standin("object-api", "object_api")
    weights = fleet.start_standin("weight-store", "weight_store")
    fleet.start_standin("vm-list", "vm_list")
    store = ["--weight-store-port", str(weights), "--memory-mb", "16000"]
    fleet.start_standin("engine-1", "engine", "--checks-fencing", *store)
    fleet.start_standin("engine-2", "engine", *store)
    fleet.start_standin("bookings-1", "service")
    fleet.wait_ready(tuple(fleet.process_by_name))
    for index, name in enumerate(NODES):
        fleet.start_node(name, f"zone-{'abc'[index]}")
    fleet.wait_ready(NODES)
    return "all processes are running"


def configuration(fleet: Fleet) -> str:
    """Return the example configuration with this run's ports."""
    text = EXAMPLE.read_text()
    ports = {7100: "engine-1", 7101: "engine-2", 7200: "bookings-1"}
    for port, name in ports.items():
        text = text.replace(f"port = {port}", f"port = {fleet.port(name)}")
    return text


def run_cli(fleet: Fleet, *arguments: str, node: str = "node-1") -> str:
    """Run the command-line tool against a node and return its output."""
    command, *rest = arguments
    options = [
        "--server",
        f"http://127.0.0.1:{fleet.port(node)}",
        "--token",
        OPERATOR_TOKEN,
    ]
    completed = subprocess.run(
        [sys.executable, "-m", "camphoryard.cli", command, *options, *rest],
        capture_output=True,
        text=True,
        check=False,
    )
    require(completed.returncode == 0, f"{command}: {completed.stderr}")
    return completed.stdout.strip()


def apply(fleet: Fleet, text: str) -> str:
    """Apply a change and wait until it is active on every live node."""
    file = fleet.folder / "change.toml"
    file.write_text(text)
    return run_cli(fleet, "apply", str(file), "--wait")


def complete(
    fleet: Fleet, node: str, model: str, prompt: str, caller: str = "meter-app"
) -> str:
    """Send a completion through a node and check that the answer is complete."""
    body = {"model": model, "prompt": prompt, "max_tokens": 16}
    token = f"{CALLER_TOKEN}-{caller}"
    response = request(fleet.port(node), "POST", "/v1/completions", body, token)
    text = response["choices"][0]["text"]
    require(text == expected_answer(prompt, 16), f"answer of {model} is incomplete")
    return f"{len(text.split())} tokens, complete, through {node}"


def book(fleet: Fleet, node: str, key: str) -> Any:
    """Book a parking space through a node and return the answer."""
    return request(
        fleet.port(node),
        "POST",
        "/v1/services/bookings/book",
        {"lot": "waterfront", "space": 12},
        f"{CALLER_TOKEN}-front-desk",
        {"Idempotency-Key": key},
    )


def book_twice(fleet: Fleet) -> str:
    """Book, resend through another node, and check that it executed once."""
    first_answer = book(fleet, "node-1", "march-12")
    resend_answer = book(fleet, "node-2", "march-12")
    require(first_answer == resend_answer, "the resend got a different answer")
    runs = request(fleet.port("bookings-1"), "GET", "/control")["executions"]
    require(len(runs) == 1, f"the booking ran {len(runs)} times")
    return (
        f"reference {first_answer['reference']}, ran once,"
        " the resend got the same answer"
    )


def move_engine_to_spare_pool(fleet: Fleet) -> str:
    """Move engine-1 to another pool; every node must stop routing to it."""
    change = configuration(fleet).split("[[endpoints]]")[1]
    change = "[[endpoints]]" + change.replace('pool = "main"', 'pool = "spare"')
    applied = apply(fleet, change)
    before = request_count(fleet, "engine-1")
    for node in NODES:
        complete(fleet, node, "meter-3b", f"after the change via {node}")
    require(request_count(fleet, "engine-1") == before, "engine-1 still got requests")
    return f"{applied}; three requests, none to engine-1"


def request_count(fleet: Fleet, name: str) -> int:
    """Return how many requests an engine has run."""
    return len(request(fleet.port(name), "GET", "/control")["log"])


def check_unknown_model_refused(fleet: Fleet) -> str:
    """Request a model that does not exist and check the refusal."""
    try:
        complete(fleet, "node-3", "no-such-model", "hello")
    except HttpError as error:
        refusal = error.body["error"]
        require(refusal["verdict"] == "not run", "verdict is not 'not run'")
        return f"{error.status} {refusal['code']}, verdict {refusal['verdict']!r}"
    raise StepFailedError("an unknown model was not refused")


def check_memory(fleet: Fleet) -> str:
    """Check that no engine was overcommitted."""
    lines = []
    for name in ("engine-1", "engine-2"):
        ledger = request(fleet.port(name), "GET", "/control")
        require(ledger["overcommits"] == 0, f"{name} was overcommitted")
        lines.append(f"{name} peak {ledger['peak_mb']}/{ledger['memory_mb']} MB")
    return ", ".join(lines)


def stop_node(fleet: Fleet) -> str:
    """Drain one node; it must exit with 0 and the others keep serving."""
    run_cli(fleet, "drain", node="node-3")
    code = fleet.process_by_name["node-3"].popen.wait(30)
    require(code == 0, f"node-3 exited with {code}")
    return "node-3 exited with 0; " + complete(fleet, "node-2", "meter-3b", "go on")


def run_steps(fleet: Fleet) -> None:
    """Run every step; raises StepFailedError at the first failure."""
    step("starting stand-ins and three daemons", lambda: start_all(fleet))
    step("applying the example", lambda: apply(fleet, configuration(fleet)))
    step(
        "a model that is not loaded is loaded on request and answers",
        lambda: complete(fleet, "node-1", "permit-8b", "When does my permit end?"),
    )
    for node in NODES:
        step(
            f"completion through {node}",
            partial(complete, fleet, node, "meter-3b", f"free near {node}?"),
        )
    step(
        "an adapter answers",
        lambda: complete(fleet, "node-2", "permit-8b:downtown", "Renew downtown."),
    )
    step(
        "a batch caller's model answers after another model is evicted",
        lambda: complete(fleet, "node-3", "lease-13b", "Summarize.", "overnight"),
    )
    step("a booking sent twice executes once", lambda: book_twice(fleet))
    step("an unknown model is refused", lambda: check_unknown_model_refused(fleet))
    step(
        "a label change takes effect on all nodes",
        lambda: move_engine_to_spare_pool(fleet),
    )
    step("no engine is overcommitted", lambda: check_memory(fleet))
    step("a drained node exits", lambda: stop_node(fleet))
    print("\n" + run_cli(fleet, "status"))


def main() -> int:
    """Run the demo; return 0 only if every step passed."""
    with Fleet() as fleet:
        try:
            run_steps(fleet)
        except (StepFailedError, HttpError, TimeoutError, OSError) as error:
            print(f"    FAILED: {error!r}\n    logs: {fleet.folder}")
            return EXIT_FAILED
    print("\nall steps passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
