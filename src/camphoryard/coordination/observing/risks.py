"""Conditions that put a guarantee (promise) of the system at risk.

Each node finds them from its own view of the system.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from camphoryard.coordination.configuration.refusal_advice import advice_for_refusal
from camphoryard.state.configuration import Configuration
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import EndpointKind, NodeState, Reason, RiskKind
from camphoryard.state.ids import EndpointId, Generation, NodeId
from camphoryard.state.refusals import RefusalKey

STORE_UNRESPONSIVE_AFTER_S = 5.0
UNCONFIRMED_AFTER_S = 30.0
RECENT_MINUTES = 5


@dataclass(frozen=True, slots=True)
class NodeView:
    """The state of a node, as observed by another one.

    ``heard_age_s`` is the time since the node was last heard from, in seconds, or
    None if never. ``is_alive`` means that its lease is valid, ``is_gone`` that
    the platform's VM list no longer has its VM.
    """

    node: NodeId
    state: NodeState
    generation: Generation
    is_alive: bool
    is_gone: bool
    heard_age_s: float | None


@dataclass(frozen=True, slots=True)
class SystemView:
    """The state from which risks are found; ages in seconds, None for never."""

    own: NodeId
    configuration: Configuration
    is_current: bool
    store_age_s: float | None
    nodes: tuple[NodeView, ...]
    records_by_endpoint: Mapping[EndpointId, EndpointRecord]
    report_age_s_by_endpoint: Mapping[EndpointId, float]
    refusals_by_key: Mapping[RefusalKey, int]
    minute: int


@dataclass(frozen=True, slots=True)
class Risk:
    """One risk: what is wrong with ``subject``, and what the operator can do."""

    kind: RiskKind
    subject: str
    detail: str
    advice: str


def find_risks(view: SystemView) -> tuple[Risk, ...]:
    """Return all risks, the most severe first."""
    return (
        *_configuration_risks(view),
        *_node_risks(view),
        *_endpoint_risks(view),
        *refusal_risks(view.refusals_by_key, view.minute, view.own),
    )


def _configuration_risks(view: SystemView) -> Iterator[Risk]:
    if not view.is_current:
        yield Risk(
            RiskKind.STALE_CONFIGURATION,
            view.own,
            "it cannot confirm that its configuration is still the accepted one,"
            " and refuses requests",
            "check whether it reaches the object API and the other nodes",
        )
    if view.store_age_s is None or view.store_age_s > STORE_UNRESPONSIVE_AFTER_S:
        last_contact = (
            "never" if view.store_age_s is None else f"{view.store_age_s:.0f} s ago"
        )
        yield Risk(
            RiskKind.STORE_SILENT,
            "object API",
            f"last answer: {last_contact}; no change, claim or intent can be written",
            "restore the object API; nodes continue to serve meanwhile",
        )


def _node_risks(view: SystemView) -> Iterator[Risk]:
    accepted = max((item.generation for item in view.nodes), default=Generation(0))
    for item in view.nodes:
        if item.is_gone:
            continue
        if not item.is_alive:
            yield Risk(
                RiskKind.NODE_SILENT,
                item.node,
                "its lease has expired, and the VM list does not report its VM as gone",
                "restart or replace its VM",
            )
        elif item.generation < accepted:
            yield Risk(
                RiskKind.NODE_BEHIND,
                item.node,
                f"it has generation {item.generation} in force, not {accepted}",
                "if this persists, check its log and whether it reaches other nodes",
            )


def _endpoint_risks(view: SystemView) -> Iterator[Risk]:
    for endpoint in view.configuration.endpoints_by_id.values():
        if endpoint.kind is EndpointKind.ENGINE:
            yield from _engine_risks(view, endpoint.id)


def _engine_risks(view: SystemView, endpoint: EndpointId) -> Iterator[Risk]:
    record = view.records_by_endpoint.get(endpoint)
    if record is None:
        yield _no_owner(endpoint, "no node owns it yet")
        return
    alive = {item.node for item in view.nodes if item.is_alive}
    if record.owner not in alive:
        yield _no_owner(endpoint, f"its owner {record.owner} is not alive")
        return
    age_s = view.report_age_s_by_endpoint.get(endpoint, 0.0)
    if record.is_silent or age_s > UNCONFIRMED_AFTER_S:
        problem = "gets no answer from it"
        if not record.is_silent:
            problem = f"has not confirmed its state for {age_s:.0f} s"
        yield Risk(
            RiskKind.ENDPOINT_UNCONFIRMED,
            endpoint,
            f"its owner {record.owner} {problem}; its loaded items are unconfirmed",
            f"check whether the engine runs and {record.owner} reaches it",
        )


def _no_owner(endpoint: EndpointId, detail: str) -> Risk:
    return Risk(
        RiskKind.NO_OWNER,
        endpoint,
        f"{detail}; no item can be loaded there",
        "check whether the endpoint answers and the object API accepts writes",
    )


def refusal_risks(
    count_by_key: Mapping[RefusalKey, int], minute: int, where: str
) -> Iterator[Risk]:
    """Yield one risk for each reason of recent refusals, the most frequent first.

    Refusals count as recent for ``RECENT_MINUTES`` before ``minute``, which is in
    minutes since the epoch. ``where`` names the nodes whose refusals are counted.
    """
    counts: Counter[Reason] = Counter()
    for key, count in count_by_key.items():
        if minute - key.minute < RECENT_MINUTES:
            counts[key.reason] += count
    for reason, count in counts.most_common():
        yield Risk(
            RiskKind.REFUSALS,
            reason.value,
            f"{count} refused at {where} in the last {RECENT_MINUTES} minutes",
            f"{advice_for_refusal(reason)}; camphoryard refusals shows the callers",
        )
