"""The scenarios of network partitions and recovery, with their own steps."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from standins.engine import expected_answer
from standins.fleet import HttpError, request
from standins.links import LinkState
from standins.site import SiteSpec, start_site
from tests.scenarios.conftest import receiving_engine

SHORT_STALENESS_LIMIT = "\n[configuration]\nstale_after_s = 3.0\n"
STATE_BY_FAULT = {"a black hole": LinkState.BLACK_HOLE, "resets": LinkState.RESET}
OBJECT_API = "object-api"
UNHEARD_AFTER_S = 4.0  # longer than stale_after_s, so that configurations are stale

scenarios("partitions.feature")
scenarios("recovery.feature")


@given(parsers.parse("a site of {nodes:d} nodes connected by links"))
def _site(world, nodes):
    spec = SiteSpec(nodes=nodes, links=True, node_settings=SHORT_STALENESS_LIMIT)
    world.site = start_site(world.fleet, spec)


@given(parsers.parse("a site of {nodes:d} nodes connected by links and 1 engine"))
def _site_with_one_engine(world, nodes):
    spec = SiteSpec(
        nodes=nodes,
        links=True,
        fence_checking_engines=0,
        node_settings=SHORT_STALENESS_LIMIT + "[residency]\nmin_residency_s = 0.2\n",
    )
    world.site = start_site(world.fleet, spec)


@when(parsers.parse("the owner of {engine} is partitioned from its peers"))
def _partition_owner(world, engine):
    world.partitioned_node = owner(world, engine)
    _partition_from_peers(world, world.partitioned_node, "a black hole")


@then("the remaining nodes answer for every model")
def _remaining_nodes_answer(world):
    for node in world.site.nodes:
        if node != world.partitioned_node:
            _every_model_answers(world, node)


def owner(world, engine):
    """Return the node that owns an engine, as node-1 reports it."""
    endpoints = world.site.status("node-1")["endpoints"]
    return next(item["owner"] for item in endpoints if item["endpoint"] == engine)


@when(parsers.parse("{node} is partitioned from its peers by {fault}"))
def _partition_from_peers(world, node, fault):
    site = world.site
    site.set_links(STATE_BY_FAULT[fault], site.links_to_peers(node))
    peers = [other for other in site.nodes if other != node]
    world.fleet.wait_until(
        lambda: not any(has_heard(site, other, node) for other in peers),
        f"missing gossip of {node}",
    )


@when(parsers.parse("{node} is partitioned from the object API by {fault}"))
def _partition_from_object_api(world, node, fault):
    world.site.set_links(STATE_BY_FAULT[fault], [(node, OBJECT_API)])


@when(parsers.parse("the peers of {node} receive nothing from it"))
def _drop_sent(world, node):
    site = world.site
    others = [other for other in site.nodes if other != node]
    site.set_links(LinkState.BLACK_HOLE, [(node, other) for other in others])
    world.fleet.wait_until(
        lambda: not any(has_heard(site, other, node) for other in others),
        f"missing gossip of {node}",
    )


@when(parsers.parse("the object API's answers to {node} are held back"))
def _hold_back_answers(world, node):
    world.site.set_links(LinkState.ANSWERS_HELD, [(node, OBJECT_API)])


@when(parsers.parse('{node} is partitioned from the engine that received "{prompt}"'))
def _partition_from_engine(world, node, prompt):
    engine = receiving_engine(world, prompt)
    world.site.set_links(LinkState.BLACK_HOLE, [(node, engine)])


@when("all nodes are killed")
def _kill_all_nodes(world):
    for name in world.site.nodes:
        world.fleet.process_by_name[name].kill()


@when(parsers.parse("{node} and {engine} are killed at the same time"))
def _kill_together(world, node, engine):
    for name in (node, engine):
        world.fleet.process_by_name[name].popen.kill()
    for name in (node, engine):
        world.fleet.process_by_name[name].kill()


@when(parsers.parse("{name} start without becoming ready"))
@when(parsers.parse("{name} starts without becoming ready"))
def _start_unready(world, name):
    names = world.site.nodes if name == "all nodes" else [name]
    for node in names:
        world.fleet.restart(node)
    world.fleet.wait_ready(names)
    assert not any(is_ready(world, node) for node in names)


@when(parsers.parse("the links between {node} and its peers are restored"))
def _restore_links_to_peers(world, node):
    world.site.set_links(LinkState.OPEN, world.site.links_to_peers(node))


@when("all links are restored")
def _restore_links(world):
    world.site.heal()


@then(parsers.parse("{node} receives gossip from its peers"))
def _receives_gossip(world, node):
    others = [other for other in world.site.nodes if other != node]
    world.fleet.wait_until(
        lambda: all(has_heard(world.site, node, other) for other in others),
        f"gossip of its peers at {node}",
    )


@then(parsers.parse('{node} is not ready and refuses requests as "not run"'))
def _is_unready_and_refuses(world, node):
    world.fleet.wait_until(lambda: not is_ready(world, node), f"unreadiness of {node}")
    with pytest.raises(HttpError) as refused:
        world.site.complete(node, "permit-8b", "partitioned")
    error = refused.value.body["error"]
    assert (error["code"], error["verdict"]) == ("stale_configuration", "not run")


@then(parsers.parse("{node} is ready"))
def _is_ready(world, node):
    world.fleet.wait_until(lambda: is_ready(world, node), f"readiness of {node}")


@then(parsers.parse('{node} reports "{text}"'))
def _reports(world, node, text):
    def report():
        with pytest.raises(HttpError) as refused:
            request(world.fleet.port(node), "GET", "/readyz")
        return refused.value.body

    world.fleet.wait_until(lambda: text in report(), text)


@then(parsers.parse("every model answers through {node}"))
def _every_model_answers(world, node):
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
def _remaining_nodes_own_engines(world):
    def owners():
        endpoints = world.site.status("node-2")["endpoints"]
        return {item["owner"] for item in endpoints}

    world.fleet.wait_until(
        lambda: owners() <= {"node-2", "node-3"}, "ownership by the remaining nodes"
    )


@then(parsers.parse("a change through {node} is refused as {code}"))
def _change_is_refused(world, node, code):
    with pytest.raises(HttpError) as refused:
        world.site.apply(node, {"callers": [{"id": "overnight"}]})
    assert refused.value.body["error"]["code"] == code


@then(parsers.parse("{node} still has an earlier generation"))
def _has_earlier_generation(world, node):
    assert world.site.status(node)["generation"] < max(world.accepted)


def has_heard(site, node, other):
    """Return whether ``node`` heard from ``other`` within the last 4 s."""
    ages_s = {item["node"]: item["heard_age_s"] for item in site.status(node)["nodes"]}
    age_s = ages_s.get(other)
    return age_s is not None and age_s < UNHEARD_AFTER_S


def is_ready(world, node):
    """Return whether a node reports that it is ready."""
    try:
        request(world.fleet.port(node), "GET", "/readyz")
    except HttpError as error:
        assert error.status == 503
        return False
    return True
