"""Tests of requests that crash the endpoints that run them."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.engine import expected_answer
from standins.fleet import HttpError
from standins.site import SiteSpec

POISON = "poison"
TOKENS = 150
SHORT_DEADLINE = {"Camphoryard-Deadline-Ms": "3000"}


def crashed_engines(site):
    """Return the engines whose processes have ended."""
    processes = site.fleet.process_by_name
    return [item for item in site.engines if processes[item].popen.poll() is not None]


def add_node(site, name):
    """Start one more node and wait until it is ready."""
    site.fleet.start_node(name, "zone-d")
    site.nodes.append(name)
    site.fleet.wait_ready([name], "/readyz")


def send_poison(site, node, headers=None):
    """Send the poison request and return the refusal."""
    with pytest.raises(HttpError) as refused:
        site.complete(node, "meter-3b", f"{POISON} request", 8, headers=headers)
    return refused.value.body["error"]


class TestPoison:
    """A request that crashes each endpoint that runs it."""

    def test_crashes_at_most_two_endpoints(self, start):
        """Resends through each node are refused; other requests complete."""
        site = start(SiteSpec(fence_checking_engines=4, crash_on=POISON, step_ms=20.0))
        prompts = [f"innocent {index}" for index in range(6)]
        streams = [
            site.stream(site.nodes[index % 3], "meter-3b", prompt, TOKENS)
            for index, prompt in enumerate(prompts)
        ]
        first_texts = [next(item) for item in streams]
        refusals = [send_poison(site, node) for node in site.nodes * 2]
        with ThreadPoolExecutor(len(streams)) as executor:
            remaining_texts = list(executor.map("".join, streams))
        assert len(crashed_engines(site)) == 2
        assert {item["code"] for item in refusals} == {"quarantined"}
        assert refusals[0]["verdict"] == "may have run"
        assert {item["verdict"] for item in refusals[1:]} == {"not run"}
        for prompt, first, rest in zip(
            prompts, first_texts, remaining_texts, strict=True
        ):
            assert first + rest == expected_answer(prompt, TOKENS)

    def test_crashes_restarted_endpoint_at_most_twice(self, start):
        """Nodes that start or restart after a crash learn of the suspect."""
        site = start(SiteSpec(nodes=2, fence_ignoring_engines=0, crash_on=POISON))
        (engine,) = site.engines
        for node in (site.nodes[0], "node-3"):
            if node not in site.nodes:
                add_node(site, node)
            send_poison(site, node, SHORT_DEADLINE)
            assert crashed_engines(site) == [engine]
            site.fleet.restart(engine)
            site.fleet.wait_ready([engine])
        site.fleet.process_by_name["node-2"].kill()
        site.fleet.restart("node-2")
        add_node(site, "node-4")
        site.fleet.wait_ready(site.nodes, "/readyz")
        refusals = [send_poison(site, node) for node in site.nodes]
        assert {item["code"] for item in refusals} == {"quarantined"}
        assert crashed_engines(site) == []
