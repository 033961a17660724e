"""The scenarios of cut links, and the steps that only they need."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from standins.engine import expected_answer
from standins.fleet import HttpError, request
from standins.links import LinkState
from standins.site import SiteSpec, start_site
from tests.scenarios.conftest import running_engine

SETTINGS = "\n[configuration]\nstale_after_s = 3.0\n"
STATE_BY_CUT = {"a black hole": LinkState.BLACK_HOLE, "resets": LinkState.RESET}
OBJECT_API = "object-api"
SILENCE_S = 4.0  # longer than a configuration lasts without a confirmation

scenarios("cuts.feature")
scenarios("recovery.feature")


@given(parsers.parse("a site of {nodes:d} nodes joined by links"))
def _site(world, nodes):
    spec = SiteSpec(nodes=nodes, links=True, node_settings=SETTINGS)
    world.site = start_site(world.fleet, spec)


@given(parsers.parse("a site of {nodes:d} nodes joined by links and 1 engine"))
def _small_site(world, nodes):
    spec = SiteSpec(
        nodes=nodes,
        links=True,
        fence_checking_engines=0,
        node_settings=SETTINGS + "[residency]\nmin_residency_s = 0.2\n",
    )
    world.site = start_site(world.fleet, spec)


@when(parsers.parse("the node that owns {engine} loses its peers"))
def _cut_owner(world, engine):
    world.cut_off = owner(world, engine)
    _cut_from_peers(world, world.cut_off, "a black hole")


@then("the nodes not cut off answer for every model")
def _reached_elsewhere(world):
    for node in world.site.nodes:
        if node != world.cut_off:
            _every_model(world, node)


def owner(world, engine):
    """Return the node that owns an engine, as the first node has it."""
    endpoints = world.site.status("node-1")["endpoints"]
    return next(item["owner"] for item in endpoints if item["endpoint"] == engine)


@when(parsers.parse("{node} is cut off from its peers by {cut}"))
def _cut_from_peers(world, node, cut):
    site = world.site
    site.set_links(STATE_BY_CUT[cut], site.links_to_peers(node))
    is_heard_by = [other for other in site.nodes if other != node]
    world.fleet.wait_until(
        lambda: not any(hears(site, other, node) for other in is_heard_by),
        f"silence of {node}",
    )


@when(parsers.parse("{node} is cut off from the object API by {cut}"))
def _cut_from_object_api(world, node, cut):
    world.site.set_links(STATE_BY_CUT[cut], [(node, OBJECT_API)])


@when(parsers.parse("nothing that {node} sends reaches its peers"))
def _unheard(world, node):
    site = world.site
    others = [other for other in site.nodes if other != node]
    site.set_links(LinkState.BLACK_HOLE, [(node, other) for other in others])
    world.fleet.wait_until(
        lambda: not any(hears(site, other, node) for other in others),
        f"silence of {node}",
    )


@when(parsers.parse("the object API's answers to {node} are held"))
def _held_answers(world, node):
    world.site.set_links(LinkState.ANSWERS_HELD, [(node, OBJECT_API)])


@when(parsers.parse('{node} is cut off from the engine that runs "{prompt}"'))
def _cut_from_engine(world, node, prompt):
    engine = running_engine(world, prompt)
    world.site.set_links(LinkState.BLACK_HOLE, [(node, engine)])


@when("all nodes are killed")
def _all_killed(world):
    for name in world.site.nodes:
        world.fleet.process_by_name[name].kill()


@when(parsers.parse("{node} and {engine} are killed at once"))
def _zone_lost(world, node, engine):
    for name in (node, engine):
        world.fleet.process_by_name[name].popen.kill()
    for name in (node, engine):
        world.fleet.process_by_name[name].kill()


@when(parsers.parse("{name} come up without being ready"))
@when(parsers.parse("{name} comes up without being ready"))
def _comes_up(world, name):
    names = world.site.nodes if name == "all nodes" else [name]
    for node in names:
        world.fleet.restart(node)
    world.fleet.wait_ready(names)
    assert not any(ready(world, node) for node in names)


@when(parsers.parse("the links between {node} and its peers heal"))
def _heal_peers(world, node):
    world.site.set_links(LinkState.OPEN, world.site.links_to_peers(node))


@when("all links heal")
def _heal(world):
    world.site.heal()


@then(parsers.parse("{node} hears its peers"))
def _hears_all(world, node):
    others = [other for other in world.site.nodes if other != node]
    world.fleet.wait_until(
        lambda: all(hears(world.site, node, other) for other in others),
        f"{node} hearing its peers",
    )


@then(parsers.parse('{node} refuses to admit, "not run", and is not ready'))
def _refuses(world, node):
    world.fleet.wait_until(lambda: not ready(world, node), f"{node} not ready")
    with pytest.raises(HttpError) as refused:
        world.site.complete(node, "permit-8b", "cut off")
    error = refused.value.body["error"]
    assert (error["code"], error["verdict"]) == ("stale_configuration", "not run")


@then(parsers.parse("{node} is ready"))
def _ready(world, node):
    world.fleet.wait_until(lambda: ready(world, node), f"{node} ready")


@then(parsers.parse('{node} says "{text}"'))
def _says(world, node, text):
    def said():
        with pytest.raises(HttpError) as refused:
            request(world.fleet.port(node), "GET", "/readyz")
        return refused.value.body

    world.fleet.wait_until(lambda: text in said(), text)


@then(parsers.parse("every model answers through {node}"))
def _every_model(world, node):
    def answers(model):
        prompt = f"{model} through {node}"
        try:
            return world.site.complete(node, model, prompt) == expected_answer(
                prompt, 16
            )
        except HttpError:
            return False

    for model in world.site.spec.models:
        world.fleet.wait_until(lambda m=model.id: answers(m), f"an answer of {model}")


@then("the other nodes own every engine")
def _taken_over(world):
    def owners():
        endpoints = world.site.status("node-2")["endpoints"]
        return {item["owner"] for item in endpoints}

    world.fleet.wait_until(
        lambda: owners() <= {"node-2", "node-3"}, "owners that are not cut off"
    )


@then(parsers.parse("a change through {node} is refused as {code}"))
def _change_refused(world, node, code):
    with pytest.raises(HttpError) as refused:
        world.site.apply(node, {"callers": [{"id": "overnight"}]})
    assert refused.value.body["error"]["code"] == code


@then(parsers.parse("{node} still has an earlier generation"))
def _behind(world, node):
    assert world.site.status(node)["generation"] < max(world.accepted)


def hears(site, node, other):
    """Return whether ``node`` heard ``other`` of late."""
    ages_s = {item["node"]: item["heard_age_s"] for item in site.status(node)["nodes"]}
    age_s = ages_s.get(other)
    return age_s is not None and age_s < SILENCE_S


def ready(world, node):
    """Return whether a node says that it is ready."""
    try:
        request(world.fleet.port(node), "GET", "/readyz")
    except HttpError as error:
        assert error.status == 503
        return False
    return True
