"""Compares the refusals that callers received with those that nodes counted."""

import json
from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType

from standins.fleet import request
from standins.history import Violation, ViolationKind
from standins.site import Site

COUNT_TIMEOUT_S = 30.0
ERROR_EVENT = b"event: error\ndata: "


def refusal_reason(body: bytes) -> str:
    """Return the reason in the body of a refusal or of a broken stream.

    The reason is empty if the body is neither.

    Examples
    --------
    >>> refusal_reason(b'{"error": {"code": "draining"}}')
    'draining'
    >>> refusal_reason(b'{"space": 12}')
    ''
    """
    text = body.rpartition(ERROR_EVENT)[2]
    if not text.startswith(b'{"error"'):
        return ""
    reason: str = json.loads(text)["error"]["code"]
    return reason


def counted_by_reason(site: Site, caller: str, hours: int) -> Counter[str]:
    """Return the refusals of a caller, summed over all nodes."""
    path = f"/admin/v1/refusals?hours={hours}"
    counted: Counter[str] = Counter()
    for item in request(site.fleet.port(site.nodes[0]), "GET", path):
        if item["caller"] == caller:
            counted[item["reason"]] += item["count"]
    return counted


def wait_for_counts(
    site: Site,
    caller: str,
    received_by_reason: Mapping[str, int],
    hours: int = 2,
    lost_by_reason: Mapping[str, int] = MappingProxyType({}),
) -> Counter[str]:
    """Wait until all received refusals are counted, or time out; return the counts."""

    def are_counted() -> bool:
        counted = counted_by_reason(site, caller, hours)
        return not check_refusals(
            received_by_reason, counted, counted.total(), lost_by_reason
        )

    try:
        site.fleet.wait_until(are_counted, "counts of refusals", COUNT_TIMEOUT_S)
    except TimeoutError:
        pass
    return counted_by_reason(site, caller, hours)


def check_refusals(
    received_by_reason: Mapping[str, int],
    counted_by_reason: Mapping[str, int],
    unanswered: int,
    lost_by_reason: Mapping[str, int] = MappingProxyType({}),
) -> tuple[Violation, ...]:
    """Return the violations among counts of refusals.

    Each received refusal must be counted, except those stored only on a node that
    was killed. A surplus is allowed only up to the number of sends without an answer.
    """
    violations = []
    for reason, received in sorted(received_by_reason.items()):
        counted = counted_by_reason.get(reason, 0)
        if counted < received - lost_by_reason.get(reason, 0):
            detail = f"{counted} of {received}"
            violations.append(Violation(ViolationKind.NOT_COUNTED, reason, detail))
    surplus = sum(counted_by_reason.values()) - sum(received_by_reason.values())
    if surplus > unanswered:
        detail = f"{surplus} more than received, {unanswered} sends without an answer"
        violations.append(Violation(ViolationKind.OVERCOUNTED, "refusals", detail))
    return tuple(violations)
