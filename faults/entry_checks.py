"""Checks of the history of a soak of entry daemons.

They use only what clients and replicas have seen, and the times of the injected faults.
All times are monotonic and of one machine.
"""

from bisect import bisect
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from camphoryard.state.log_lines import LogLine
from standins.replica import DEADLY, EVENTS, event, plain_body
from standins.replica_engine import ACCEPTED

STABLE_WINDOW_S = 3.0
APPLY_S = 2.0
DRAIN_S = 2.0
BUSY_SLACK_S = 0.5
MAX_ARRIVALS_IN_REST = 2
DEADLY_CRASHES = 5
MAX_ARRIVALS_AFTER_CRASHES = 3
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request of a client and what it got; ``status`` is 0 without an answer."""

    id: str
    node: str
    path: str
    sent_s: float
    done_s: float
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.path.startswith("/chat/")

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once."""
        return not self.path.startswith("/book/")


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault of a target: a node, a replica or the store."""

    target: str
    began_s: float
    ended_s: float

    def touches(self, from_s: float, until_s: float) -> bool:
        """Return whether it overlaps a span of time."""
        return self.began_s <= until_s and from_s <= self.ended_s


@dataclass(slots=True)
class SoakHistory:
    """What happened in one soak.

    ``lines_by_replica`` are the journals of the replicas, ``leaves_s`` the times at
    which the store acknowledged that a replica leaves, ``crashes_s`` those of crashes
    by part, ``own_ends`` the processes that ended by themselves, ``confirmed_s``
    the times at which the store acknowledged versions of the configuration,
    ``starts_s`` those at which the processes of nodes were started again.
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

    def is_disturbed(self, target: str, from_s: float, until_s: float) -> bool:
        """Return whether a target was under a fault in a span of time."""
        return any(
            item.target == target and item.touches(from_s, until_s)
            for item in self.disturbances
        )

    def is_in_touch(self, node: str, from_s: float, until_s: float) -> bool:
        """Return whether node and store were sound, also in the window before."""
        since_s = from_s - STABLE_WINDOW_S
        return not (
            self.is_disturbed(node, since_s, until_s)
            or self.is_disturbed("store", since_s, until_s)
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
        _refused,
        _mixed,
        _drain_after_answer,
        _drain_after_store,
        _budget_in_rest,
        _budget_of_parts,
        _lost,
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
            whole = b"".join(event(item.id, n) for n in range(1, EVENTS + 1))
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


def _budget_in_rest(history: SoakHistory) -> Iterable[str]:
    """Find nodes that send to replicas in the time that these have asked for."""
    node_by_id = {item.id: item.node for item in history.attempts}
    lines_by_pair: dict[tuple[str, str], list[dict[str, Any]]] = defaultdict(list)
    for replica, line in history.arrivals():
        if line["id"] in node_by_id:
            lines_by_pair[node_by_id[line["id"]], replica].append(line)
    for (node, replica), lines in lines_by_pair.items():
        asked = [line for line in lines if line["rest_s"] > 0]
        for first in asked[:1]:
            from_s = first["at_s"] + BUSY_SLACK_S
            until_s = first["at_s"] + first["rest_s"]
            count = sum(from_s < line["at_s"] < until_s for line in lines)
            if count > MAX_ARRIVALS_IN_REST and not history.is_disturbed(
                node, first["at_s"], until_s
            ):
                yield f"BUDGET: {count} requests of {node} to {replica} while it rests"


def _budget_of_parts(history: SoakHistory) -> Iterable[str]:
    """Find requests with a deadly part long after its fifth crash."""
    for part, crashes_s in history.crashes_s.items():
        if len(crashes_s) < DEADLY_CRASHES:
            continue
        from_s = sorted(crashes_s)[DEADLY_CRASHES - 1] + STABLE_WINDOW_S
        late = sum(
            part in line["parts"] and line["at_s"] > from_s
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
            and item.id in arrived
            and not history.is_disturbed(item.node, item.sent_s, item.done_s)
        ):
            yield f"LOST: {item.id} at {item.node} got no answer"


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
            if line.event != "request_answered":
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
