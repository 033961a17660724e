"""Tests of requests that crash the endpoints that run them."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.engine import whole_answer
from standins.fleet import HttpError
from standins.site import SiteSpec

POISON = "poison"
LENGTH = 150


def crashed(site):
    """Return the engines that have ended."""
    processes = site.fleet.process_by_name
    return [item for item in site.engines if processes[item].popen.poll() is not None]


def send_poison(site, node):
    """Send the poison request and return the refusal."""
    with pytest.raises(HttpError) as refused:
        site.complete(node, "meter-3b", f"{POISON} request", 8)
    return refused.value.body["error"]


class TestPoison:
    """A request that crashes each endpoint that runs it."""

    def test_brings_down_two_endpoints_at_most(self, start):
        """Resends through every node are refused; others get whole answers."""
        site = start(SiteSpec(checking_engines=4, crash_on=POISON, step_ms=20.0))
        prompts = [f"innocent {index}" for index in range(6)]
        streams = [
            site.stream(site.nodes[index % 3], "meter-3b", prompt, LENGTH)
            for index, prompt in enumerate(prompts)
        ]
        started = [next(item) for item in streams]
        refusals = [send_poison(site, node) for node in site.nodes * 2]
        with ThreadPoolExecutor(len(streams)) as executor:
            rests = list(executor.map("".join, streams))
        assert len(crashed(site)) == 2
        assert {item["code"] for item in refusals} == {"quarantined"}
        assert refusals[0]["verdict"] == "may have run"
        assert {item["verdict"] for item in refusals[1:]} == {"not run"}
        for prompt, first, rest in zip(prompts, started, rests, strict=True):
            assert first + rest == whole_answer(prompt, LENGTH)
