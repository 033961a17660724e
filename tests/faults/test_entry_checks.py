"""Tests of the checks of a soak: broken rules are found, sound histories pass."""

import math

import pytest

from camphoryard.protocol.log_lines import parse_log_line
from faults.entry_checks import (
    APPLY_S,
    BUDGET_EXTRA,
    BUDGET_SHARE,
    BUDGET_WINDOW_S,
    BUSY_SLACK_S,
    DEADLINE_S,
    DEADLINE_SLACK_S,
    DRAIN_S,
    HANDOVER_S,
    MAX_ATTEMPTS,
    MAX_LONG_DEADLINES,
    MAX_REQUESTS_OVER_ATTEMPTS,
    NOT_REPEATABLE_ROUTES,
    STABLE_WINDOW_S,
    Attempt,
    Disturbance,
    SoakHistory,
    find_violations,
)
from standins.entry_site import GRACE_S
from standins.replica import EVENTS, event, plain_body

SEAL = {"server-seal": "s.r1"}
STREAM = b"".join(event("c1", number) for number in range(1, EVENTS + 1))


def attempt(id="b1", path="/book/1", sent_s=10.0, **fields):
    """Return a request that was answered, unless ``fields`` say otherwise."""
    defaults = {
        "node": "n1",
        "done_s": sent_s + 0.1,
        "status": 200,
        "headers": SEAL,
        "body": plain_body(id),
        "is_whole": True,
    }
    return Attempt(id, path=path, sent_s=sent_s, **{**defaults, **fields})


def line(event, id="b1", at_s=10.05, **fields):
    """Return a line of a replica's journal."""
    return {
        "event": event,
        "id": id,
        "at_s": at_s,
        "parts": (),
        "rest_s": 0.0,
        "leaving": False,
        **fields,
    }


def rules(history):
    """Return the rules that a history breaks."""
    return [violation.partition(":")[0] for violation in find_violations(history)]


def history(attempts, r1=(), r2=(), **fields):
    """Return a history with the journals of two replicas."""
    return SoakHistory(attempts, {"r1": list(r1), "r2": list(r2)}, **fields)


class TestSoundHistory:
    """Nothing is found."""

    def test_answered_requests_break_no_rule(self):
        """A booking ran once, and a stream is whole."""
        runs = [line("arrived"), line("ran")]
        stream = attempt("c1", "/chat/1", body=STREAM)
        assert rules(history([attempt(), stream], r1=runs)) == []

    def test_lookup_may_run_twice(self):
        """It is idempotent."""
        runs = [line("ran")]
        assert rules(history([attempt(path="/look/1")], r1=runs, r2=runs)) == []


class TestAnswers:
    """What clients got."""

    @pytest.mark.parametrize("route", NOT_REPEATABLE_ROUTES)
    def test_request_that_ran_twice_is_found(self, route):
        """TWICE, with or without a model."""
        runs = [line("ran")]
        sample = history([attempt(path=f"/{route}/1")], r1=runs, r2=runs)
        assert rules(sample) == ["TWICE"]

    def test_refused_booking_that_ran_is_found(self):
        """REFUSED."""
        refused = attempt(status=503, headers={}, body=b"")
        assert rules(history([refused], r1=[line("ran")])) == ["REFUSED"]

    @pytest.mark.parametrize(
        "fields", [{"headers": {}}, {"body": plain_body("b2")}, {"body": b"do"}]
    )
    def test_success_that_is_not_the_replicas_is_found(self, fields):
        """MIXED."""
        assert rules(history([attempt(**fields)])) == ["MIXED"]

    @pytest.mark.parametrize(
        "body",
        [
            event("c1", 1) + event("c1", 3),
            event("c1", 1) + event("c1", 1),
            event("c1", 1) + b"HTTP/1.1 500 X\r\n\r\nfailed\n",
            event("c1", 1) + event("c1", 2),
        ],
    )
    def test_stream_with_gaps_or_foreign_bytes_or_an_early_end_is_found(self, body):
        """ORDER."""
        assert rules(history([attempt("c1", "/chat/1", body=body)])) == ["ORDER"]

    def test_stream_that_is_broken_off_is_no_violation(self):
        """The client sees that it is incomplete."""
        stream = attempt("c1", "/chat/1", body=event("c1", 1), is_whole=False)
        assert rules(history([stream])) == []

    @pytest.mark.parametrize(("target", "found"), [("n1", []), ("n2", ["LOST"])])
    def test_request_without_an_answer_is_found(self, target, found):
        """LOST, unless its node was under a fault."""
        lost = attempt(status=0, headers={}, body=b"", is_whole=False)
        disturbances = [Disturbance(target, 9.0, 10.0)]
        assert (
            rules(history([lost], r1=[line("arrived")], disturbances=disturbances))
            == found
        )


class TestLostInStop:
    """Requests that a replica got when their node was told to stop."""

    STOP_S = 20.0

    def history(self, sent_s, ran_until_s, *others, **fields):
        """Return a stream that was cut off, and the planned stop of its node."""
        cut = {"body": event("c1", 1), "is_whole": False, **fields}
        done_s = max(sent_s, self.STOP_S) + 2.0
        stream = attempt("c1", "/chat/1", sent_s, done_s=done_s, **cut)
        at_s = sent_s + 0.1
        runs = [
            line("arrived", "c1", at_s),
            line("ran", "c1", at_s),
            line("ended", "c1", ran_until_s),
        ]
        stop = Disturbance("n1", self.STOP_S, self.STOP_S + 5.0, is_planned=True)
        return history(
            [stream],
            r1=runs,
            stops_s={"n1": [self.STOP_S]},
            disturbances=[stop, *others],
        )

    @pytest.mark.parametrize("status", [200, 0])
    def test_request_that_the_stop_cut_off_is_found(self, status):
        """LOST, with or without the beginning of an answer."""
        sample = self.history(19.0, 21.0, status=status)
        assert rules(sample) == ["LOST"]

    def test_request_that_ran_to_the_end_of_the_grace_is_none(self):
        """The node could not wait for its answer, but no longer takes late ones."""
        end_s = self.STOP_S + GRACE_S
        assert rules(self.history(19.0, end_s)) == []
        assert rules(self.history(self.STOP_S + 3.1, end_s)) == ["LOST"]

    def test_request_beside_another_fault_is_none(self):
        """Unplanned trouble may end answers."""
        trouble = Disturbance("slot-1", 10.0, 19.0 - STABLE_WINDOW_S)
        assert rules(self.history(19.0, 21.0, trouble)) == []


class TestEndpoints:
    """What replicas asked for."""

    LATE_S = 10.1 + DRAIN_S + 0.1

    @pytest.mark.parametrize(("node", "found"), [("n1", ["DRAIN"]), ("n2", [])])
    def test_request_after_an_answer_that_says_so_is_found(self, node, found):
        """DRAIN, by the node that has passed the answer on."""
        told = attempt(headers={**SEAL, "server-leaving": "1"})
        later = attempt("b2", sent_s=self.LATE_S, node=node)
        arrived = [line("arrived", "b2", self.LATE_S + 0.01)]
        assert rules(history([told, later], r1=arrived)) == found

    @pytest.mark.parametrize(
        ("disturbances", "found"),
        [
            ([], ["DRAIN"]),
            ([Disturbance("store", 10.0, 11.0)], []),
            ([Disturbance("n1", 10.0 - STABLE_WINDOW_S, 10.0)], []),
            ([Disturbance("n2", 10.0, 11.0)], ["DRAIN"]),
        ],
    )
    def test_request_after_the_stores_word_is_found(self, disturbances, found):
        """DRAIN, at nodes in touch."""
        later = attempt("b2", sent_s=self.LATE_S)
        arrived = [line("arrived", "b2", self.LATE_S + 0.01)]
        sample = history(
            [later], r1=arrived, leaves_s={"r1": 10.0}, disturbances=disturbances
        )
        assert rules(sample) == found

    @pytest.mark.parametrize(("count", "found"), [(2, []), (3, ["BUDGET"])])
    def test_requests_while_a_replica_rests_are_found(self, count, found):
        """BUDGET, after half a second."""
        first = line("arrived", "b0", 10.0, rest_s=2.0)
        later = [
            line("arrived", f"b{n}", 11.0, rest_s=1.0) for n in range(1, count + 1)
        ]
        attempts = [
            attempt(f"b{n}", status=503, headers={}, body=b"") for n in range(count + 1)
        ]
        assert rules(history(attempts, r1=[first, *later])) == found

    def test_requests_in_a_second_rest_are_found(self):
        """A replica may ask each node for rests more than once."""
        rests = [line("arrived", f"b{n}", 10.0 * n, rest_s=2.0) for n in (1, 2)]
        later = [line("arrived", f"b{n}", 21.0, rest_s=1.0) for n in (3, 4, 5)]
        attempts = [
            attempt(f"b{n}", status=503, headers={}, body=b"") for n in range(6)
        ]
        assert rules(history(attempts, r1=[*rests, *later])) == ["BUDGET"]

    @pytest.mark.parametrize(("crashes", "found"), [(4, []), (5, ["BUDGET"])])
    def test_requests_with_a_part_after_its_fifth_crash_are_found(self, crashes, found):
        """BUDGET, after the window."""
        at_s = 20.0 + STABLE_WINDOW_S
        arrived = [line("arrived", f"c{n}", at_s, parts=("deadly1",)) for n in range(4)]
        sample = history([], r1=arrived, crashes_s={"deadly1": [10.0] * crashes})
        assert rules(sample) == found

    @pytest.mark.parametrize(("target", "found"), [("n1", []), ("n2", ["BUDGET"])])
    def test_parts_sent_by_a_node_that_has_just_restarted_are_none(self, target, found):
        """The rule counts what nodes in touch send."""
        ids = [f"c{n}" for n in range(4)]
        at_s = 20.0 + STABLE_WINDOW_S
        arrived = [line("arrived", id, at_s, parts=("deadly1",)) for id in ids]
        attempts = [attempt(id, "/chat/1", at_s, status=502) for id in ids]
        restart = Disturbance(target, at_s - STABLE_WINDOW_S, at_s - 1.0)
        sample = history(
            attempts,
            r1=arrived,
            crashes_s={"deadly1": [10.0] * 5},
            disturbances=[restart],
        )
        assert rules(sample) == found

    def test_process_that_ended_by_itself_is_found(self):
        """Nobody stopped it."""
        assert rules(history([], own_ends=["n1 exited with 1"])) == ["OWN END"]


class TestBudget:
    """What endpoints get beside the first arrival of each request."""

    def window(self, repeats, requests, requests_s, **fields):
        """Return repeats at 40 s of requests that were sent at ``requests_s``."""
        attempts = [
            attempt(f"b{n}", sent_s=requests_s, body=plain_body(f"b{n}"))
            for n in range(requests)
        ]
        first = [line("arrived", f"b{n}", 15.0) for n in range(requests)]
        again = [line("arrived", f"b{n % requests}", 40.0) for n in range(repeats)]
        return history(attempts, r1=first, r2=again, **fields)

    @pytest.mark.parametrize("before_s", [0.0, BUDGET_WINDOW_S / 2, BUDGET_WINDOW_S])
    @pytest.mark.parametrize(("beyond", "found"), [(0, []), (1, ["BUDGET"])])
    def test_repeats_beyond_the_bound_of_a_window_are_found(
        self, beyond, found, before_s
    ):
        """The requests of the window, or of one before it, earn repeats."""
        requests = 100
        repeats = round(BUDGET_SHARE * requests) + BUDGET_EXTRA + beyond
        sample = self.window(repeats, requests, 39.0 - before_s)
        assert rules(sample) == found

    def test_requests_of_two_windows_before_earn_nothing(self):
        """Only the share of the window's own requests may be repeated."""
        sample = self.window(BUDGET_EXTRA + 1, 100, 39.0 - 2 * BUDGET_WINDOW_S)
        assert rules(sample) == ["BUDGET"]

    def test_repeats_of_all_routes_of_a_service_count_together(self):
        """Two routes that each keep the bound break it together."""
        ids = [(f"b{n}", f"/{('book', 'look')[n % 2]}/1") for n in range(2)]
        attempts = [attempt(id, path, body=plain_body(id)) for id, path in ids]
        lines = [line("arrived", f"b{n % 2}") for n in range(BUDGET_EXTRA + 4)]
        services = {"book": "desk", "look": "desk"}
        assert rules(history(attempts, r1=lines, service_by_route=services)) == [
            "BUDGET"
        ]

    @pytest.mark.parametrize(
        ("replicas", "found"), [(MAX_ATTEMPTS, []), (MAX_ATTEMPTS + 1, ["BUDGET"])]
    )
    def test_runs_on_more_replicas_than_the_route_allows_are_found(
        self, replicas, found
    ):
        """Some requests may; more are a violation."""
        ids = [f"c{n}" for n in range(MAX_REQUESTS_OVER_ATTEMPTS + 1)]
        lines = [
            line(event, id, at_s)
            for id in ids
            for event, at_s in (("ran", 10.0), ("ended", 10.1))
        ]
        journals = {f"r{n}": lines for n in range(replicas)}
        assert rules(SoakHistory([], journals)) == found

    @pytest.mark.parametrize(
        ("left_s", "found"),
        [
            (DEADLINE_S, []),
            (DEADLINE_S + DEADLINE_SLACK_S + 0.1, ["BUDGET"]),
            (math.inf, ["BUDGET"]),
        ],
    )
    def test_deadlines_after_those_of_clients_are_found(self, left_s, found):
        """Replicas would work on requests that nobody waits for."""
        ids = [f"b{n}" for n in range(MAX_LONG_DEADLINES + 1)]
        attempts = [attempt(id, body=plain_body(id)) for id in ids]
        lines = [line("arrived", id, 10.0, left_s=left_s) for id in ids]
        assert rules(history(attempts, r1=lines)) == found


class TestTwoAtOnce:
    """A stream goes on at one replica while another one still runs it."""

    LATE_S = HANDOVER_S + 0.1

    def run(self, id, began_s, ended_s):
        """Return the journal lines of a run."""
        return [line("ran", id, began_s), line("ended", id, ended_s)]

    def history(self, beside_s, **fields):
        """Return a stream that its node goes on with at a second replica at 11 s."""
        stream = attempt("c1", "/chat/1", body=STREAM, done_s=13.0)
        r1, r2 = self.run("c1", 10.0, 11.0 + beside_s), self.run("c1", 11.0, 12.0)
        return history([stream], r1=r1, r2=r2, **fields)

    @pytest.mark.parametrize(
        ("beside_s", "found"), [(HANDOVER_S - 0.1, []), (LATE_S, ["TWICE"])]
    )
    def test_first_replica_goes_on_beside_the_second(self, beside_s, found):
        """The node has not ended its first call."""
        assert rules(self.history(beside_s)) == found

    def test_client_that_resumes_at_another_node(self):
        """The first node has not noticed that its client has left."""
        first = attempt("c1", "/chat/1", body=event("c1", 1), is_whole=False)
        whole = b"".join(event("c2", n) for n in range(2, EVENTS + 1))
        fields = {"resumes": "c1", "after": 1, "node": "n2"}
        second = attempt("c2", "/chat/2", 11.0, body=whole, **fields)
        r1 = self.run("c1", 10.0, 11.0 + self.LATE_S)
        sample = history([first, second], r1=r1, r2=self.run("c2", 11.0, 12.0))
        assert rules(sample) == ["TWICE"]

    @pytest.mark.parametrize("target", ["n1", "r1", "store"])
    def test_trouble_excuses_the_first_run(self, target):
        """A node out of touch, or a replica that stood still until just before."""
        pause = Disturbance(target, 10.9, 11.2)
        assert rules(self.history(self.LATE_S, disturbances=[pause])) == []


def order(holder, fence, status=202):
    """Return the journal line of an order."""
    return line("order", id="", holder=holder, fence=fence, status=status)


class TestOne:
    """At most one node orders under each fence."""

    def test_rising_fences_break_no_rule(self):
        """Each holder has fences of its own, and a later one may be lower elsewhere."""
        r1 = [order("n1", 1), order("n1", 1), order("n2", 2), order("n1", 1, 412)]
        assert rules(history([], r1, [order("n2", 2), order("n3", 3)])) == []

    @pytest.mark.parametrize("status", [202, 409, 412])
    def test_two_holders_of_one_fence(self, status):
        """Two nodes that order under one fence, also at different engines."""
        at_r2 = [order("n2", 1, status)]
        assert rules(history([], [order("n1", 1)], at_r2)) == ["ONE"]

    def test_lower_fence_is_accepted(self):
        """An engine carries out the order of an earlier term."""
        r1 = [order("n2", 2), order("n1", 1)]
        assert rules(history([], r1)) == ["ONE"]


def node_log(*events):
    """Return the log lines of a node."""
    return [parse_log_line(f"at={n}.0 node=n1 {item}") for n, item in enumerate(events)]


class TestOlderConfiguration:
    """A node keeps a confirmed configuration until it gets a newer one."""

    def test_newer_configurations_break_no_rule(self):
        """Versions rise, and a new process may begin with an older one."""
        log = node_log(
            "event=configuration_adopted version=1",
            "event=started",
            "event=configuration_adopted version=3",
            "event=configuration_adopted version=2",
            "event=started",
        )
        logs, starts_s = {"n1": log}, {"n1": [2.5]}
        confirmed_s = dict.fromkeys((1, 2, 3), 0.0)
        sound = history(
            [], log_lines_by_node=logs, confirmed_s=confirmed_s, starts_s=starts_s
        )
        assert rules(sound) == []

    def test_older_configuration_comes_back(self):
        """A node replaces a confirmed version by an older one."""
        log = node_log(
            "event=started",
            "event=configuration_adopted version=3",
            "event=configuration_adopted version=2",
        )
        logs = {"n1": log}
        assert rules(
            history([], log_lines_by_node=logs, confirmed_s=dict.fromkeys((2, 3), 0.0))
        ) == ["CONFIG"]


class TestLateConfiguration:
    """A sound node serves under a confirmed configuration after a short time."""

    LIMIT_S = APPLY_S + BUSY_SLACK_S

    def history(self, rules, after_s, **fields):
        """Return a request some time after version 2 was confirmed at 100 s."""
        at_s = 100.0 + after_s + 0.5
        text = "event=request_answered request=b1 held_ms=500"
        line = parse_log_line(f"at={at_s} node=n1 {text} rules={rules}")
        confirmed_s = {1: 0.0, 2: 100.0}
        logs = {"n1": [line]}
        return history([], log_lines_by_node=logs, confirmed_s=confirmed_s, **fields)

    def test_request_begins_under_an_old_version(self):
        """The node has not applied the version in time."""
        assert rules(self.history(1, self.LIMIT_S + 0.1)) == ["CONFIG"]

    def test_sound_nodes_break_no_rule(self):
        """The node has applied the version, or has some time left."""
        assert rules(self.history(2, self.LIMIT_S + 0.1)) == []
        assert rules(self.history(1, self.LIMIT_S - 0.1)) == []

    @pytest.mark.parametrize("target", ["n1", "store"])
    def test_node_out_of_touch_breaks_no_rule(self, target):
        """The store or the node was under a fault a short time before."""
        disturbances = [Disturbance(target, 90.0, 97.5)]
        late = self.history(1, self.LIMIT_S + 0.1, disturbances=disturbances)
        assert rules(late) == []
