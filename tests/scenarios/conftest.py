"""Steps of the scenario language, over real processes."""

import signal
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, then, when

from standins.engine import expected_answer
from standins.fleet import Fleet, HttpError
from standins.site import Site, SiteSpec, engine_item, start_site

STEP_LIMIT_S = 60.0


@dataclass
class World:
    """What the steps of one scenario share."""

    fleet: Fleet
    tasks: ThreadPoolExecutor
    site: Site | None = None
    last: object = None
    refusal: HttpError | None = None
    pending: Future | None = None
    cut_off: str = ""
    accepted: list[int] = field(default_factory=list)
    conflicts: list[HttpError] = field(default_factory=list)

    def attempt(self, act):
        """Run ``act``, keeping its answer or its refusal."""
        self.last = self.refusal = None
        try:
            self.last = act()
        except HttpError as error:
            self.refusal = error

    def executions(self, key_space):
        """Return how often the booking of a space ran, over all services."""
        body = f'"space": {key_space}}}'
        return sum(
            run["body"].endswith(body)
            for name in self.site.services
            for run in self.site.control(name)["executions"]
        )


@pytest.fixture
def world():
    """Return the shared state; everything started is ended afterwards."""
    with ThreadPoolExecutor() as tasks, Fleet() as fleet:
        yield World(fleet, tasks)


@given(parsers.parse("a site of {nodes:d} nodes"))
def _site(world, nodes):
    world.site = start_site(world.fleet, SiteSpec(nodes=nodes))


@given(
    parsers.parse(
        "a site of {nodes:d} nodes, {checking:d} checking and {ignoring:d} ignoring"
        " engines"
    )
)
def _site_of(world, nodes, checking, ignoring):
    spec = SiteSpec(
        nodes=nodes, fence_checking_engines=checking, fence_ignoring_engines=ignoring
    )
    world.site = start_site(world.fleet, spec)


@when(parsers.re(r"(?P<name>(node|engine)-\d+) is killed"))
def _killed(world, name):
    world.fleet.process_by_name[name].kill()


@when(parsers.parse("{name} is frozen"))
def _frozen(world, name):
    world.fleet.process_by_name[name].signal(signal.SIGSTOP)


@when(parsers.parse("{name} goes on"))
def _goes_on(world, name):
    world.fleet.process_by_name[name].signal(signal.SIGCONT)


@when(parsers.re(r"(?P<name>(node|engine|bookings)-\d+) starts again"))
def _starts_again(world, name):
    world.fleet.restart(name)
    path = "/readyz" if name.startswith("node") else "/livez"
    world.fleet.wait_ready((name,), path)


@when("all nodes are replaced by new processes")
def _all_restart(world):
    for name in world.site.nodes:
        world.fleet.process_by_name[name].kill()
    for name in world.site.nodes:
        world.fleet.restart(name)
    world.fleet.wait_ready(world.site.nodes, "/readyz")


@when(parsers.parse("{name} is told to stop"))
def _told_to_stop(world, name):
    world.fleet.process_by_name[name].signal(signal.SIGTERM)


@when("the object API is out")
def _outage(world):
    world.site.control("object-api", outage=True)


@when("the object API is back")
def _back(world):
    world.site.control("object-api", outage=False)


@given(parsers.parse('the object API loses {count:d} answers below "{prefix}"'))
@when(parsers.parse('the object API loses {count:d} answers below "{prefix}"'))
def _lose(world, count, prefix):
    world.site.control("object-api", lose_answers=count, lose_prefix=prefix)


@given(parsers.parse("{name} runs the next {count:d} calls but breaks the connection"))
def _break(world, name, count):
    world.site.control(name, lose_answers=count)


@given(parsers.parse("{name} answers after {delay:g} seconds"))
def _delay(world, name, delay):
    world.site.control(name, delay_s=delay)


@given(parsers.parse("{name} carries out orders twice"))
def _double(world, name):
    world.site.control(name, duplicate_orders=True)


@given(parsers.parse("{name} loses {count:d} orders"))
def _lose_orders(world, name, count):
    world.site.control(name, lose_orders=count)


@given(parsers.parse("{name} carries out orders {delay:g} seconds late"))
def _late_orders(world, name, delay):
    world.site.control(name, order_delay_s=delay)


@when(parsers.parse('space {space:d} is booked with key "{key}" through {node}'))
def _book(world, space, key, node):
    world.attempt(lambda: world.site.book(node, key, space))


@when(
    parsers.parse(
        'space {space:d} is booked with key "{key}" through {node} in the background'
    )
)
def _book_behind(world, space, key, node):
    world.pending = world.tasks.submit(world.site.book, node, key, space)


@when(parsers.parse("the booking of space {space:d} has begun at the service"))
def _begun(world, space):
    world.fleet.wait_until(lambda: world.executions(space) > 0, "the booking's run")


@when(parsers.parse('{model} is asked "{prompt}" through {node}'))
def _ask(world, model, prompt, node):
    world.attempt(lambda: world.site.complete(node, model, prompt))


@when(parsers.parse('{model} is asked for {count:d} tokens of "{prompt}" via {node}'))
def _ask_behind(world, model, count, prompt, node):
    world.pending = world.tasks.submit(world.site.complete, node, model, prompt, count)


@when(parsers.parse('an engine runs "{prompt}"'))
def _engine_runs(world, prompt):
    world.fleet.wait_until(lambda: running_engine(world, prompt), f"{prompt} running")


@when(parsers.parse('the engine that runs "{prompt}" is killed'))
def _kill_runner(world, prompt):
    world.fleet.process_by_name[running_engine(world, prompt)].kill()


def running_engine(world, prompt):
    """Return the engine that took a prompt last, or an empty text."""
    for name in world.site.engines:
        if world.fleet.process_by_name[name].popen.poll() is not None:
            continue
        if any(run["prompt"] == prompt for run in world.site.control(name)["log"]):
            return name
    return ""


@when(parsers.parse('{name} gets the label pool="{pool}" through {node}'))
def _label(world, name, pool, node):
    item = engine_item(world.site, name, pool=pool)
    world.accepted.append(world.site.apply(node, {"endpoints": [item]}))


@when(parsers.parse("two operators change {name} over the same generation"))
def _race(world, name):
    base = world.site.status("node-1")["generation"]

    def change(node, pool):
        item = engine_item(world.site, name, pool=pool)
        return world.site.apply(node, {"endpoints": [item], "base": base})

    racers = [
        world.tasks.submit(change, "node-1", "one"),
        world.tasks.submit(change, "node-2", "two"),
    ]
    for racer in racers:
        try:
            world.accepted.append(racer.result())
        except HttpError as error:
            world.conflicts.append(error)


@then(parsers.parse('the answer to "{prompt}" is whole'))
def _whole(world, prompt):
    assert world.refusal is None, world.refusal
    assert world.last == expected_answer(prompt, 16)


@then(parsers.parse('the background answer has {count:d} tokens of "{prompt}"'))
def _whole_behind(world, count, prompt):
    assert world.pending.result(STEP_LIMIT_S) == expected_answer(prompt, count)


@then(parsers.parse('it is refused as {code} with verdict "{verdict}"'))
def _refused(world, code, verdict):
    assert world.refusal is not None, world.last
    error = world.refusal.body["error"]
    assert (error["code"], error["verdict"]) == (code, verdict)


@then("it is answered")
def _answered(world):
    assert world.refusal is None, world.refusal


@then(parsers.parse("space {space:d} was booked {count:d} times"))
def _ran(world, space, count):
    assert world.executions(space) == count


@then("no engine was overcommitted")
def _ledgers(world):
    for name in world.site.engines:
        if world.fleet.process_by_name[name].popen.poll() is None:
            assert world.site.control(name)["overcommits"] == 0


@then("the last accepted change is in force on every node")
def _in_force(world):
    world.site.wait_in_force(max(world.accepted))


@then("one of them is accepted and the other sees a conflict")
def _one_wins(world):
    assert len(world.accepted) == 1
    assert [item.body["error"]["code"] for item in world.conflicts] == ["conflict"]


@then(parsers.parse("{name} exits with {code:d}"))
def _exits(world, name, code):
    assert world.fleet.process_by_name[name].popen.wait(STEP_LIMIT_S) == code
