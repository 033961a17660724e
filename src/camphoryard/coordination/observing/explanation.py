"""Why a request would go where it goes."""

from dataclasses import dataclass

from camphoryard.coordination.routing.routing import accepts_new_work
from camphoryard.state.configuration import Configuration, Endpoint, ServingGroup
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.enums import EndpointKind, Reason, SelectorKind
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import (
    AdapterId,
    CallerId,
    EndpointId,
    GroupId,
    ItemId,
    ModelId,
    NodeId,
    ServiceId,
)
from camphoryard.state.labels import Labels, Requirement, Selector, selects
from camphoryard.state.tables import EndpointTable


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The first requirement that does not hold, and the labels it was tried on."""

    selector: SelectorKind
    requirement: Requirement
    labels: Labels


@dataclass(frozen=True, slots=True)
class GroupTrial:
    """A group that was tried; ``mismatch`` is None for the one that matched."""

    group: ServingGroup
    mismatch: Mismatch | None


@dataclass(frozen=True, slots=True)
class EndpointTrial:
    """An endpoint of the right kind and why the group may not use it.

    ``mismatch`` is None and ``leaving`` false for one that takes the request.
    """

    id: EndpointId
    leaving: bool
    mismatch: Mismatch | None
    owner: NodeId | None
    resident: bool


@dataclass(frozen=True, slots=True)
class Explanation:
    """Groups tried in order up to the one that matched, and its endpoints."""

    caller: CallerId
    caller_known: bool
    target: str
    kind: EndpointKind
    group_matches: tuple[GroupTrial, ...]
    matched: GroupId | None
    endpoints: tuple[EndpointTrial, ...]


@dataclass(frozen=True, slots=True)
class _Target:
    kind: EndpointKind
    labels: Labels
    items: tuple[ItemId, ...]


def explain(
    configuration: Configuration, table: EndpointTable, caller: CallerId, target: str
) -> Explanation:
    """Return which group, priority and endpoints a request would get, and why.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    table : EndpointTable
        Tells owners and what is resident.
    caller : CallerId
        Who would call; one that is not configured has no labels.
    target : str
        ``MODEL``, ``MODEL:ADAPTER``, ``SERVICE`` or ``SERVICE/OPERATION``.

    Raises
    ------
    RefusalError
        If the target is not configured.
    """
    found = _find_target(configuration, target)
    known = configuration.callers_by_id.get(caller)
    group_matches: list[GroupTrial] = []
    matched: ServingGroup | None = None
    groups = configuration.groups_by_id.values()
    for group in sorted(groups, key=lambda item: (item.order, item.id)):
        mismatch = _try(group, known.labels if known else {}, found.labels)
        group_matches.append(GroupTrial(group, mismatch))
        if mismatch is None:
            matched = group
            break
    endpoints = (
        tuple(
            _try_endpoint(item, matched, found, table.find(item.id))
            for item in configuration.endpoints_by_id.values()
            if item.kind is found.kind
        )
        if matched
        else ()
    )
    return Explanation(
        caller,
        known is not None,
        target,
        found.kind,
        tuple(group_matches),
        matched.id if matched else None,
        endpoints,
    )


def _find_target(configuration: Configuration, target: str) -> _Target:
    service = configuration.services_by_id.get(ServiceId(target.partition("/")[0]))
    if service is not None:
        return _Target(EndpointKind.SERVICE, service.labels, ())
    model_id, _, adapter_id = target.partition(":")
    model = configuration.models_by_id.get(ModelId(model_id))
    if model is None:
        raise RefusalError(
            Reason.NOT_FOUND,
            f"no model or service {target!r};"
            " `camphoryard get --output text` lists them",
            field="target",
        )
    if not adapter_id:
        return _Target(EndpointKind.ENGINE, model.labels, (ItemId(model.id),))
    adapter = configuration.adapters_by_id.get(AdapterId(adapter_id))
    if adapter is None or adapter.base != model.id:
        raise RefusalError(
            Reason.NOT_FOUND,
            f"no adapter {adapter_id!r} over {model_id!r}",
            field="target",
        )
    items = (ItemId(model.id), ItemId(target))
    return _Target(EndpointKind.ENGINE, {**model.labels, **adapter.labels}, items)


def _try(group: ServingGroup, caller: Labels, target: Labels) -> Mismatch | None:
    return _mismatch(SelectorKind.CALLERS, group.callers, caller) or _mismatch(
        SelectorKind.TARGETS, group.targets, target
    )


def _try_endpoint(
    endpoint: Endpoint,
    group: ServingGroup,
    target: _Target,
    record: EndpointRecord | None,
) -> EndpointTrial:
    mismatch = _mismatch(SelectorKind.ENDPOINTS, group.endpoints, endpoint.labels)
    leaving = mismatch is None and not accepts_new_work(endpoint, group)
    resident = record is not None and all(
        item in record.resident_mb_by_item for item in target.items
    )
    owner = record.owner if record else None
    return EndpointTrial(endpoint.id, leaving, mismatch, owner, resident)


def _mismatch(
    kind: SelectorKind, selector: Selector, labels: Labels
) -> Mismatch | None:
    for requirement in selector.requirements:
        if not selects(Selector((requirement,)), labels):
            return Mismatch(kind, requirement, labels)
    return None
