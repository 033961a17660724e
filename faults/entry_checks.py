"""Checks of the history of a soak of entry daemons.

They use only what clients and replicas have seen, and the times of the injected faults.
All times are monotonic and of one machine.
"""

from bisect import bisect
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from camphoryard.state.log_lines import LogLine
from standins.entry_site import GRACE_S
from standins.replica import DEADLY, EVENTS, event, plain_body
from standins.replica_engine import ACCEPTED

STABLE_WINDOW_S = 3.0
APPLY_S = 2.0
DRAIN_S = 2.0
BUSY_SLACK_S = 0.5
MAX_ARRIVALS_IN_REST = 2
DEADLY_CRASHES = 5
MAX_ARRIVALS_AFTER_CRASHES = 3
NOT_REPEATABLE_ROUTES = ("book", "sign")
NOT_RUN_STATUSES = (401, 408, 421, 429, 503)
BUDGET_WINDOW_S = 10.0
BUDGET_SHARE = 0.2
BUDGET_EXTRA = 50
"""Repeats in a window that a service may get beyond its share of the requests."""
DEADLINE_S = 10.0
"""How long each client waits."""
DEADLINE_SLACK_S = 0.5
MAX_LONG_DEADLINES = 20
MAX_LONG_DEADLINE_SHARE = 0.2
MAX_ATTEMPTS = 3
"""Most replicas that may run a request, on any route."""
MAX_REQUESTS_OVER_ATTEMPTS = 3
LAST_OF_GRACE = 5 / 6
"""Share of the grace after which a node that stops may break off what still runs."""
LATE_AFTER_STOP_S = 3.0
"""Time after a stop until which the requests that it may break off were sent."""
SETTLE_AFTER_GRACE_S = 1.0
"""Time after the grace of a stop in which connections still end because of it."""
HANDOVER_S = 0.4
"""Time for which an endpoint may go on with a stream that runs at another one."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request of a client and what it got; ``status`` is 0 without an answer.

    ``is_sent`` is False if its node accepted no connection, ``has_left``
    True if its client did not wait for the answer. One that resumes the stream
    of another request, whose id is ``resumes``, wants the events ``after`` a number.
    """

    id: str
    node: str
    path: str
    sent_s: float
    done_s: float = 0.0
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    is_sent: bool = True
    has_left: bool = False
    resumes: str = ""
    after: int = 0
    key: str = ""

    @property
    def route(self) -> str:
        """The first segment of the path."""
        return self.path.split("/")[1]

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.path.startswith("/chat/")

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once."""
        return self.route not in NOT_REPEATABLE_ROUTES


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault of a target: a node, a replica or the store; or planned work on it."""

    target: str
    began_s: float
    ended_s: float
    is_planned: bool = False

    def touches(self, from_s: float, until_s: float) -> bool:
        """Return whether it overlaps a span of time."""
        return self.began_s <= until_s and from_s <= self.ended_s


@dataclass(frozen=True, slots=True)
class WrittenKeys:
    """The keys of a version of the configuration, and when its write began.

    ``limit_by_account`` are the requests that all nodes may admit in a window.
    """

    at_s: float
    account_by_key: Mapping[str, str]
    limit_by_account: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class SoakHistory:
    """What happened in one soak.

    ``lines_by_replica`` are the journals of the replicas, ``leaves_s`` the times at
    which the store acknowledged that a replica leaves, ``crashes_s`` those of crashes
    by part, ``own_ends`` the processes that ended by themselves, ``confirmed_s``
    the times at which the store acknowledged versions of the configuration,
    ``keys_by_version`` their keys, ``starts_s`` the times at which the processes of
    nodes were started again, ``stops_s`` those at which they were told to stop.
    Routes are named by the first segment of their paths.
    """

    attempts: list[Attempt] = field(default_factory=list)
    lines_by_replica: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    disturbances: list[Disturbance] = field(default_factory=list)
    leaves_s: dict[str, float] = field(default_factory=dict)
    crashes_s: dict[str, list[float]] = field(default_factory=dict)
    own_ends: list[str] = field(default_factory=list)
    log_lines_by_node: dict[str, list[LogLine]] = field(default_factory=dict)
    confirmed_s: dict[int, float] = field(default_factory=dict)
    starts_s: dict[str, list[float]] = field(default_factory=dict)
    stops_s: dict[str, list[float]] = field(default_factory=dict)
    service_by_route: dict[str, str] = field(default_factory=dict)
    keys_by_version: dict[int, WrittenKeys] = field(default_factory=dict)

    def is_disturbed(self, target: str, from_s: float, until_s: float) -> bool:
        """Return whether a target was under a fault in a span of time."""
        return any(
            item.target == target and item.touches(from_s, until_s)
            for item in self.disturbances
        )

    def is_out_of_order(self, from_s: float, until_s: float) -> bool:
        """Return whether there was any unplanned fault in a span of time."""
        return any(
            not item.is_planned and item.touches(from_s, until_s)
            for item in self.disturbances
        )

    def is_in_touch(self, node: str, from_s: float, until_s: float) -> bool:
        """Return whether node and store were sound, also in the window before."""
        since_s = from_s - STABLE_WINDOW_S
        return not (
            self.is_disturbed(node, since_s, until_s)
            or self.is_disturbed("store", since_s, until_s)
        )

    def pause_end_s(self, replica: str, at_s: float) -> float:
        """Return when a pause of a replica at ``at_s`` ends, or ``at_s``."""
        return max(
            (
                item.ended_s
                for item in self.disturbances
                if item.target == replica and item.touches(at_s, at_s + HANDOVER_S)
            ),
            default=at_s,
        )

    def arrivals(self) -> Iterable[tuple[str, dict[str, Any]]]:
        """Return the replica and the journal line of each request that arrived."""
        for replica, lines in self.lines_by_replica.items():
            for line in lines:
                if line["event"] == "arrived" and line["id"]:
                    yield replica, line


def find_violations(history: SoakHistory) -> list[str]:
    """Return the violations of the users' rules, each as one line."""
    checks: Sequence[Callable[[SoakHistory], Iterable[str]]] = (
        _twice,
        _two_at_once,
        _refused,
        _mixed,
        _drain_after_answer,
        _drain_after_store,
        _budget_in_window,
        _budget_of_attempts,
        _budget_of_time,
        _budget_in_rest,
        _budget_of_parts,
        _lost,
        _lost_in_stop,
        _one,
        _older_configuration,
        _late_configuration,
        lambda item: (f"OWN END: {end}" for end in item.own_ends),
    )
    return [violation for check in checks for violation in check(history)]


def _runs(history: SoakHistory) -> Counter[str]:
    return Counter(
        line["id"]
        for lines in history.lines_by_replica.values()
        for line in lines
        if line["event"] == "ran"
    )


def _twice(history: SoakHistory) -> Iterable[str]:
    runs = _runs(history)
    for item in history.attempts:
        if not item.may_repeat and runs[item.id] > 1:
            yield f"TWICE: {item.id} ran {runs[item.id]} times"


def _two_at_once(history: SoakHistory) -> Iterable[str]:
    """Find streams that go on at a replica while an earlier one still runs them.

    Either the node or the client goes on. A replica that was killed within a run has no
    end of it in its journal; a paused one can end its run only after the pause.
    """
    attempt_by_id = {item.id: item for item in history.attempts}
    spans = _run_spans(history)
    for id, attempt in attempt_by_id.items():
        if not attempt.is_stream:
            continue
        runs = [*spans.get(attempt.resumes, ()), *spans.get(id, ())]
        for earlier, later in pairwise(sorted(runs, key=lambda run: run.began_s)):
            node = attempt_by_id[earlier.id].node
            due_s = history.pause_end_s(earlier.replica, later.began_s) + HANDOVER_S
            if earlier.ended_s > due_s and history.is_in_touch(
                node, later.began_s, due_s
            ):
                beside_s = earlier.ended_s - later.began_s
                yield (
                    f"TWICE: {earlier.id} ran at {earlier.replica} for {beside_s:.2f} s"
                    f" beside {later.id} at {later.replica}"
                )


@dataclass(frozen=True, slots=True)
class _RunSpan:
    """The time for which a replica ran a request."""

    id: str
    replica: str
    began_s: float
    ended_s: float


def _run_spans(history: SoakHistory) -> Mapping[str, list[_RunSpan]]:
    """Return the runs that have ended, by the id of their request."""
    spans: dict[str, list[_RunSpan]] = defaultdict(list)
    for replica, lines in history.lines_by_replica.items():
        began_s: dict[str, float] = {}
        for line in lines:
            match line["event"]:
                case "ran":
                    began_s[line["id"]] = line["at_s"]
                case "ended" if line["id"] in began_s:
                    id = line["id"]
                    span = _RunSpan(id, replica, began_s.pop(id), line["at_s"])
                    spans[id].append(span)
    return spans


def _refused(history: SoakHistory) -> Iterable[str]:
    runs = _runs(history)
    for item in history.attempts:
        if item.status in NOT_RUN_STATUSES and not item.may_repeat and runs[item.id]:
            yield f"REFUSED: {item.id} got {item.status} and ran"


def _mixed(history: SoakHistory) -> Iterable[str]:
    for item in history.attempts:
        if not 200 <= item.status < 300:
            continue
        if not item.headers.get("server-seal"):
            yield f"MIXED: {item.id} got {item.status} without a seal"
        elif not item.is_stream:
            if item.is_whole and item.body != plain_body(item.id):
                yield f"MIXED: {item.id} got {item.body!r}"
        else:
            first = item.after + 1
            whole = b"".join(event(item.id, n) for n in range(first, EVENTS + 1))
            if not whole.startswith(item.body):
                yield f"ORDER: {item.id} got {item.body!r}"
            elif item.is_whole and item.body != whole:
                yield f"ORDER: {item.id} ended early and looks complete"


def _drain_after_answer(history: SoakHistory) -> Iterable[str]:
    """Find requests to replicas that had told the node that they leave."""
    told_s: dict[tuple[str, str], float] = {}
    for item in sorted(history.attempts, key=lambda attempt: attempt.done_s):
        seal = item.headers.get("server-seal", "")
        if item.headers.get("server-leaving") and seal:
            told_s.setdefault((item.node, seal.removeprefix("s.")), item.done_s)
    attempt_by_id = {item.id: item for item in history.attempts}
    for replica, line in history.arrivals():
        attempt = attempt_by_id.get(line["id"])
        since_s = told_s.get((attempt.node, replica)) if attempt else None
        if (
            attempt is not None
            and since_s is not None
            and attempt.sent_s > since_s + DRAIN_S
            and not history.is_disturbed(attempt.node, since_s, attempt.sent_s)
        ):
            late_s = attempt.sent_s - since_s
            yield f"DRAIN: {attempt.id} {late_s:.2f} s after {replica} told its node"


def _drain_after_store(history: SoakHistory) -> Iterable[str]:
    """Find requests to replicas whose leave the store had acknowledged."""
    attempt_by_id = {item.id: item for item in history.attempts}
    for replica, line in history.arrivals():
        left_s = history.leaves_s.get(replica)
        attempt = attempt_by_id.get(line["id"])
        if (
            left_s is not None
            and attempt is not None
            and attempt.sent_s > left_s + DRAIN_S
            and history.is_in_touch(attempt.node, left_s, line["at_s"])
        ):
            late_s = attempt.sent_s - left_s
            yield f"DRAIN: {attempt.id} reached {replica} {late_s:.2f} s after it left"


def _budget_in_window(history: SoakHistory) -> Iterable[str]:
    """Find services that get more repeats in a window than the fleet may send.

    A request counts when it was sent, a repeat when it arrived. The requests are those
    of the window, of the one before it or of the one half a window before it.
    """
    service_by_id = {
        item.id: history.service_by_route.get(item.route, item.route)
        for item in history.attempts
    }
    requests_s: dict[str, list[float]] = defaultdict(list)
    for item in history.attempts:
        if item.is_sent:
            requests_s[service_by_id[item.id]].append(item.sent_s)
    for service, repeats_s in _repeats_s(history, service_by_id).items():
        sent_s = sorted(requests_s[service])
        worst = 0.0, 0, 0.0
        for number, at_s in enumerate(repeats_s, 1):
            count = number - bisect(repeats_s, at_s - BUDGET_WINDOW_S)
            requests = max(
                bisect(sent_s, at_s - back_s)
                - bisect(sent_s, at_s - back_s - BUDGET_WINDOW_S)
                for back_s in (0.0, BUDGET_WINDOW_S / 2, BUDGET_WINDOW_S)
            )
            allowed = BUDGET_SHARE * requests + BUDGET_EXTRA
            worst = max(worst, (count - allowed, count, allowed))
        beyond, count, allowed = worst
        if beyond > 0:
            yield f"BUDGET: {count} repeats to {service}, {allowed:.0f} allowed"


def _repeats_s(
    history: SoakHistory, service_by_id: Mapping[str, str]
) -> Mapping[str, list[float]]:
    """Return the times of arrivals beyond the first of each request, by service."""
    arrivals_s: dict[str, list[float]] = defaultdict(list)
    for _, line in history.arrivals():
        arrivals_s[line["id"]].append(line["at_s"])
    repeats_s: dict[str, list[float]] = defaultdict(list)
    for id, times_s in arrivals_s.items():
        if id in service_by_id:
            repeats_s[service_by_id[id]].extend(sorted(times_s)[1:])
    return {service: sorted(times_s) for service, times_s in repeats_s.items()}


def _budget_of_attempts(history: SoakHistory) -> Iterable[str]:
    """Find requests that ran on more replicas than any route allows."""
    replicas: dict[str, set[str]] = defaultdict(set)
    for id, runs in _run_spans(history).items():
        replicas[id].update(run.replica for run in runs)
    over = [id for id, names in replicas.items() if len(names) > MAX_ATTEMPTS]
    if len(over) > MAX_REQUESTS_OVER_ATTEMPTS:
        yield f"BUDGET: {over} ran on more than {MAX_ATTEMPTS} replicas"


def _budget_of_time(history: SoakHistory) -> Iterable[str]:
    """Find requests that replicas may work on for longer than their client waits."""
    sent_s_by_id = {item.id: item.sent_s for item in history.attempts}
    arrivals = [
        line
        for _, line in history.arrivals()
        if "left_s" in line and line["id"] in sent_s_by_id
    ]
    late = sum(
        line["at_s"] + line["left_s"]
        > sent_s_by_id[line["id"]] + DEADLINE_S + DEADLINE_SLACK_S
        for line in arrivals
    )
    if late > MAX_LONG_DEADLINES and late > MAX_LONG_DEADLINE_SHARE * len(arrivals):
        yield f"BUDGET: {late} of {len(arrivals)} requests with too much time"


def _budget_in_rest(history: SoakHistory) -> Iterable[str]:
    """Find nodes that send to replicas in the time that these have asked for."""
    node_by_id = {item.id: item.node for item in history.attempts}
    lines_by_pair: dict[tuple[str, str], list[dict[str, Any]]] = defaultdict(list)
    for replica, line in history.arrivals():
        if line["id"] in node_by_id:
            lines_by_pair[node_by_id[line["id"]], replica].append(line)
    for (node, replica), lines in lines_by_pair.items():
        counts = [
            _arrivals_in_rest(history, node, lines, first)
            for first in lines
            if first["rest_s"] > 0
        ]
        if (worst := max(counts, default=0)) > MAX_ARRIVALS_IN_REST:
            yield f"BUDGET: {worst} requests of {node} to {replica} while it rests"


def _arrivals_in_rest(
    history: SoakHistory,
    node: str,
    lines: Sequence[Mapping[str, Any]],
    first: Mapping[str, Any],
) -> int:
    """Return the arrivals in the rest that a replica named when it got ``first``."""
    from_s = first["at_s"] + BUSY_SLACK_S
    until_s = first["at_s"] + first["rest_s"]
    if history.is_disturbed(node, first["at_s"], until_s):
        return 0
    return sum(from_s < line["at_s"] < until_s for line in lines)


def _budget_of_parts(history: SoakHistory) -> Iterable[str]:
    """Find requests of sound nodes with a deadly part, long after its fifth crash."""
    node_by_id = {item.id: item.node for item in history.attempts}
    for part, crashes_s in history.crashes_s.items():
        if len(crashes_s) < DEADLY_CRASHES:
            continue
        from_s = sorted(crashes_s)[DEADLY_CRASHES - 1] + STABLE_WINDOW_S
        late = sum(
            part in line["parts"]
            and line["at_s"] > from_s
            and history.is_in_touch(
                node_by_id.get(line["id"], ""), line["at_s"], line["at_s"]
            )
            for _, line in history.arrivals()
        )
        if late > MAX_ARRIVALS_AFTER_CRASHES:
            yield f"BUDGET: {late} requests with {part}, {len(crashes_s)} crashes"


def _lost(history: SoakHistory) -> Iterable[str]:
    """Find requests that reached a replica and got no answer from a sound node."""
    arrived = {line["id"] for _, line in history.arrivals()}
    for item in history.attempts:
        if (
            item.status == 0
            and not item.has_left
            and item.id in arrived
            and not history.is_disturbed(item.node, item.sent_s, item.done_s)
        ):
            yield f"LOST: {item.id} at {item.node} got no answer"


def _lost_in_stop(history: SoakHistory) -> Iterable[str]:
    """Find requests that a replica got and a planned stop of their node cut off.

    Nothing is found beside unplanned faults, wherever they are.
    """
    arrived = {line["id"] for _, line in history.arrivals()}
    ends_s = {
        id: max(run.ended_s for run in runs) for id, runs in _run_spans(history).items()
    }
    for item in history.attempts:
        if item.is_whole or item.has_left or item.id not in arrived:
            continue
        if item.done_s - item.sent_s >= DEADLINE_S or history.is_out_of_order(
            item.sent_s - STABLE_WINDOW_S, item.done_s
        ):
            continue
        for stop_s in history.stops_s.get(item.node, ()):
            grace_end_s = stop_s + GRACE_S
            is_late = item.sent_s > stop_s + LATE_AFTER_STOP_S
            ran_on = ends_s.get(item.id, 0.0) > stop_s + GRACE_S * LAST_OF_GRACE
            if (
                item.sent_s < grace_end_s + SETTLE_AFTER_GRACE_S
                and item.done_s > stop_s
                and (is_late or not ran_on)
            ):
                yield f"LOST: {item.id} was cut off by the stop of {item.node}"


def _one(history: SoakHistory) -> Iterable[str]:
    """Find fences of two holders, and lower fences that an engine accepted."""
    holders_by_fence: dict[int, set[str]] = defaultdict(set)
    for replica, lines in history.lines_by_replica.items():
        highest = 0
        for line in lines:
            if line["event"] != "order":
                continue
            fence = line["fence"]
            holders_by_fence[fence].add(line["holder"])
            if fence < highest and line["status"] == ACCEPTED:
                yield f"ONE: {replica} accepted fence {fence} after {highest}"
            highest = max(highest, fence)
    for fence, holders in sorted(holders_by_fence.items()):
        if len(holders) > 1:
            yield f"ONE: {sorted(holders)} ordered under fence {fence}"


def _older_configuration(history: SoakHistory) -> Iterable[str]:
    """Find nodes that left a confirmed configuration for an older one."""
    for node, lines in history.log_lines_by_node.items():
        starts_s = history.starts_s.get(node, [])
        newest_by_life: dict[int, int] = defaultdict(int)
        for line in lines:
            if line.event != "configuration_adopted":
                continue
            life = bisect(starts_s, line.at_s)
            version, newest = int(line.fields["version"]), newest_by_life[life]
            if version < newest:
                yield f"CONFIG: {node} went from {newest} back to {version}"
            if version in history.confirmed_s:
                newest_by_life[life] = max(newest, version)


def _late_configuration(history: SoakHistory) -> Iterable[str]:
    """Find requests under a configuration that should have been replaced by then."""
    limit_s = APPLY_S + BUSY_SLACK_S
    for node, lines in history.log_lines_by_node.items():
        for line in lines:
            if line.event != "request_answered" or "rules" not in line.fields:
                continue
            began_s = line.at_s - int(line.fields["held_ms"]) / 1000
            due = max(
                (
                    version
                    for version, at_s in history.confirmed_s.items()
                    if at_s < began_s - limit_s
                ),
                default=0,
            )
            if int(line.fields["rules"]) < due and history.is_in_touch(
                node, began_s - limit_s, began_s
            ):
                id, rules = line.fields["request"], line.fields["rules"]
                yield f"CONFIG: {id} began at {node} under {rules}, not {due}"


def deadly_part(number: int) -> str:
    """Return a part that crashes replicas."""
    return f"{DEADLY}{number}"
