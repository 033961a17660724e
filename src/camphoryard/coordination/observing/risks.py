"""Which promises are at risk, as one node sees it."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from camphoryard.coordination.configuration.refusal_advice import advice_for_refusal
from camphoryard.state.configuration import Configuration
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import EndpointKind, NodeState, Reason, RiskKind
from camphoryard.state.ids import EndpointId, Generation, NodeId
from camphoryard.state.refusals import RefusalKey

STORE_SILENT_S = 5.0
UNCONFIRMED_S = 30.0
RECENT_MINUTES = 5


@dataclass(frozen=True, slots=True)
class NodeView:
    """A node as another sees it.

    ``heard_age_s`` is how long ago it was heard, None if not yet; ``is_alive``
    is by its lease, ``is_gone`` by the platform's VM list.
    """

    node: NodeId
    state: NodeState
    generation: Generation
    is_alive: bool
    is_gone: bool
    heard_age_s: float | None


@dataclass(frozen=True, slots=True)
class SystemView:
    """What risks are judged by; ages in seconds, None for never."""

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
    """One promise at risk: what is wrong with ``subject`` and what to do."""

    kind: RiskKind
    subject: str
    detail: str
    advice: str


def find_risks(view: SystemView) -> tuple[Risk, ...]:
    """Return everything that puts a promise at risk, the gravest first."""
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
            "it cannot tell whether its configuration is still the accepted one,"
            " and refuses requests",
            "see whether it reaches the object API and the other nodes",
        )
    if view.store_age_s is None or view.store_age_s > STORE_SILENT_S:
        seen = "never" if view.store_age_s is None else f"{view.store_age_s:.0f} s ago"
        yield Risk(
            RiskKind.STORE_SILENT,
            "object API",
            f"last heard {seen}: no change, claim or new intent can be written",
            "look after the object API; serving goes on meanwhile",
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
                "its lease has lapsed and the VM list does not say that it is gone",
                "restart or replace its VM",
            )
        elif item.generation < accepted:
            yield Risk(
                RiskKind.NODE_BEHIND,
                item.node,
                f"it has generation {item.generation} in force, not {accepted}",
                "if this lasts, see its log and whether it hears the other nodes",
            )


def _endpoint_risks(view: SystemView) -> Iterator[Risk]:
    for endpoint in view.configuration.endpoints_by_id.values():
        if endpoint.kind is EndpointKind.ENGINE:
            yield from _engine_risks(view, endpoint.id)


def _engine_risks(view: SystemView, endpoint: EndpointId) -> Iterator[Risk]:
    record = view.records_by_endpoint.get(endpoint)
    if record is None:
        yield _no_owner(endpoint, "no node has taken it over yet")
        return
    alive = {item.node for item in view.nodes if item.is_alive}
    if record.owner not in alive:
        yield _no_owner(endpoint, f"its owner {record.owner} is not alive")
        return
    age_s = view.report_age_s_by_endpoint.get(endpoint, 0.0)
    if record.is_silent or age_s > UNCONFIRMED_S:
        seen = "gets no answer from it"
        if not record.is_silent:
            seen = f"has not confirmed it for {age_s:.0f} s"
        yield Risk(
            RiskKind.ENDPOINT_UNCONFIRMED,
            endpoint,
            f"its owner {record.owner} {seen}: what it holds is not certain",
            f"see whether the engine runs and {record.owner} reaches it",
        )


def _no_owner(endpoint: EndpointId, detail: str) -> Risk:
    return Risk(
        RiskKind.NO_OWNER,
        endpoint,
        f"{detail}: nothing can be loaded there",
        "see whether the endpoint answers and the object API takes writes",
    )


def refusal_risks(
    count_by_key: Mapping[RefusalKey, int], minute: int, where: str
) -> Iterator[Risk]:
    """Yield one risk for each reason of late, as of ``minute`` since the epoch."""
    counts: Counter[Reason] = Counter()
    for key, count in count_by_key.items():
        if minute - key.minute < RECENT_MINUTES:
            counts[key.reason] += count
    for reason, count in counts.most_common():
        yield Risk(
            RiskKind.REFUSALS,
            reason.value,
            f"{count} refused at {where} in the last {RECENT_MINUTES} minutes",
            f"{advice_for_refusal(reason)}; camphoryard refusals shows whose",
        )
