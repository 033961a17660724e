"""Shared steps of the scenarios, over real processes."""

import signal
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, then, when

from standins.engine import expected_answer
from standins.fleet import Fleet, HttpError
from standins.site import Site, SiteSpec, engine_item, start_site

STEP_TIMEOUT_S = 60.0


@dataclass
class World:
    """State that the steps of one scenario share."""

    fleet: Fleet
    tasks: ThreadPoolExecutor
    site: Site | None = None
    last_answer: object = None
    refusal: HttpError | None = None
    background_answer: Future | None = None
    partitioned_node: str = ""
    accepted: list[int] = field(default_factory=list)
    conflicts: list[HttpError] = field(default_factory=list)

    def attempt(self, send):
        """Call ``send`` and store its answer or its refusal."""
        self.last_answer = self.refusal = None
        try:
            self.last_answer = send()
        except HttpError as error:
            self.refusal = error

    def executions(self, space):
        """Return how often the services executed the booking of a space."""
        body = f'"space": {space}}}'
        return sum(
            run["body"].endswith(body)
            for name in self.site.services
            for run in self.site.control(name)["executions"]
        )


@pytest.fixture
def world():
    """Return the shared state; all processes are stopped after the test."""
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
def _site_with_engines(world, nodes, checking, ignoring):
    spec = SiteSpec(
        nodes=nodes, fence_checking_engines=checking, fence_ignoring_engines=ignoring
    )
    world.site = start_site(world.fleet, spec)


@when(parsers.re(r"(?P<name>(node|engine)-\d+) is killed"))
def _kill(world, name):
    world.fleet.process_by_name[name].kill()


@when(parsers.parse("{name} is paused"))
def _pause(world, name):
    world.fleet.process_by_name[name].pause()


@when(parsers.parse("{name} resumes"))
def _resume(world, name):
    world.fleet.process_by_name[name].resume()


@when(parsers.re(r"(?P<name>(node|engine|bookings)-\d+) restarts"))
def _restart(world, name):
    world.fleet.restart(name)
    path = "/readyz" if name.startswith("node") else "/livez"
    world.fleet.wait_ready((name,), path)


@when("all nodes are restarted")
def _restart_all_nodes(world):
    for name in world.site.nodes:
        world.fleet.process_by_name[name].kill()
    for name in world.site.nodes:
        world.fleet.restart(name)
    world.fleet.wait_ready(world.site.nodes, "/readyz")


@when(parsers.parse("{name} receives SIGTERM"))
def _send_sigterm(world, name):
    world.fleet.process_by_name[name].signal(signal.SIGTERM)


@when("the object API is unavailable")
def _start_outage(world):
    world.site.control("object-api", outage=True)


@when("the object API is available again")
def _end_outage(world):
    world.site.control("object-api", outage=False)


@given(
    parsers.parse('the object API loses {count:d} answers to writes below "{prefix}"')
)
@when(
    parsers.parse('the object API loses {count:d} answers to writes below "{prefix}"')
)
def _lose_answers(world, count, prefix):
    world.site.control("object-api", lose_answers=count, lose_prefix=prefix)


@given(
    parsers.parse("{name} executes the next {count:d} calls but breaks the connection")
)
def _break_connections(world, name, count):
    world.site.control(name, lose_answers=count)


@given(parsers.parse("{name} answers after {delay:g} seconds"))
def _delay_answers(world, name, delay):
    world.site.control(name, delay_s=delay)


@given(parsers.parse("{name} executes each order twice"))
def _duplicate_orders(world, name):
    world.site.control(name, duplicate_orders=True)


@given(parsers.parse("{name} loses {count:d} orders"))
def _lose_orders(world, name, count):
    world.site.control(name, lose_orders=count)


@given(parsers.parse("{name} executes orders {delay:g} seconds late"))
def _delay_orders(world, name, delay):
    world.site.control(name, order_delay_s=delay)


@when(parsers.parse('space {space:d} is booked with key "{key}" through {node}'))
def _book(world, space, key, node):
    world.attempt(lambda: world.site.book(node, key, space))


@when(
    parsers.parse(
        'space {space:d} is booked with key "{key}" through {node} in the background'
    )
)
def _book_in_background(world, space, key, node):
    world.background_answer = world.tasks.submit(world.site.book, node, key, space)


@when(parsers.parse("the service has started the booking of space {space:d}"))
def _wait_for_booking(world, space):
    world.fleet.wait_until(
        lambda: world.executions(space) > 0, f"execution of booking {space}"
    )


@when(parsers.parse('prompt "{prompt}" is sent to {model} through {node}'))
def _send_prompt(world, model, prompt, node):
    world.attempt(lambda: world.site.complete(node, model, prompt))


@when(
    parsers.parse(
        'prompt "{prompt}" for {count:d} tokens is sent to {model} through {node}'
        " in the background"
    )
)
def _send_prompt_in_background(world, model, count, prompt, node):
    world.background_answer = world.tasks.submit(
        world.site.complete, node, model, prompt, count
    )


@when(parsers.parse('an engine has received "{prompt}"'))
def _wait_for_engine(world, prompt):
    world.fleet.wait_until(
        lambda: receiving_engine(world, prompt), f"an engine that received {prompt!r}"
    )


@when(parsers.parse('the engine that received "{prompt}" is killed'))
def _kill_receiving_engine(world, prompt):
    world.fleet.process_by_name[receiving_engine(world, prompt)].kill()


def receiving_engine(world, prompt):
    """Return a running engine that has received a prompt, or an empty text."""
    for name in world.site.engines:
        if world.fleet.process_by_name[name].popen.poll() is not None:
            continue
        if any(run["prompt"] == prompt for run in world.site.control(name)["log"]):
            return name
    return ""


@when(parsers.parse('the label pool="{pool}" is set on {name} through {node}'))
def _set_label(world, name, pool, node):
    item = engine_item(world.site, name, pool=pool)
    world.accepted.append(world.site.apply(node, {"endpoints": [item]}))


@when(parsers.parse("two operators change {name} based on the same generation"))
def _change_concurrently(world, name):
    base = world.site.status("node-1")["generation"]

    def change(node, pool):
        item = engine_item(world.site, name, pool=pool)
        return world.site.apply(node, {"endpoints": [item], "base": base})

    futures = [
        world.tasks.submit(change, "node-1", "one"),
        world.tasks.submit(change, "node-2", "two"),
    ]
    for future in futures:
        try:
            world.accepted.append(future.result())
        except HttpError as error:
            world.conflicts.append(error)


@then(parsers.parse('the answer to "{prompt}" is complete'))
def _answer_is_complete(world, prompt):
    assert world.refusal is None, world.refusal
    assert world.last_answer == expected_answer(prompt, 16)


@then(parsers.parse('the background answer has {count:d} tokens of "{prompt}"'))
def _background_answer_is_complete(world, count, prompt):
    assert world.background_answer.result(STEP_TIMEOUT_S) == expected_answer(
        prompt, count
    )


@then(parsers.parse('the request is refused as {code} with verdict "{verdict}"'))
def _is_refused(world, code, verdict):
    assert world.refusal is not None, world.last_answer
    error = world.refusal.body["error"]
    assert (error["code"], error["verdict"]) == (code, verdict)


@then("the request succeeds")
def _succeeds(world):
    assert world.refusal is None, world.refusal


@then(parsers.parse("space {space:d} was booked {count:d} times"))
def _was_booked(world, space, count):
    assert world.executions(space) == count


@then("no engine was overcommitted")
def _never_overcommitted(world):
    for name in world.site.engines:
        if world.fleet.process_by_name[name].popen.poll() is None:
            assert world.site.control(name)["overcommits"] == 0


@then("the last accepted change is in force on every node")
def _is_in_force(world):
    world.site.wait_in_force(max(world.accepted))


@then("one change is accepted and the other is refused as a conflict")
def _one_change_is_accepted(world):
    assert len(world.accepted) == 1
    assert [item.body["error"]["code"] for item in world.conflicts] == ["conflict"]


@then(parsers.parse("{name} exits with code {code:d}"))
def _exits_with(world, name, code):
    assert world.fleet.process_by_name[name].popen.wait(STEP_TIMEOUT_S) == code
