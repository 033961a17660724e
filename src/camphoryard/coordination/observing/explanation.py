"""Explanation of how a request would be routed."""

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
    """The first requirement that does not match, and the labels it was tested on."""

    selector: SelectorKind
    requirement: Requirement
    labels: Labels


@dataclass(frozen=True, slots=True)
class GroupMatch:
    """A group that was tested; ``mismatch`` is None for the one that matched."""

    group: ServingGroup
    mismatch: Mismatch | None


@dataclass(frozen=True, slots=True)
class EndpointMatch:
    """An endpoint of the right kind, and why the group may not use it.

    ``mismatch`` is None and ``leaving`` false if it accepts the request.
    """

    id: EndpointId
    leaving: bool
    mismatch: Mismatch | None
    owner: NodeId | None
    resident: bool


@dataclass(frozen=True, slots=True)
class Explanation:
    """The groups tested, in order up to the matching one, and its endpoints."""

    caller: CallerId
    caller_known: bool
    target: str
    kind: EndpointKind
    group_matches: tuple[GroupMatch, ...]
    matched: GroupId | None
    endpoints: tuple[EndpointMatch, ...]


@dataclass(frozen=True, slots=True)
class _Target:
    kind: EndpointKind
    labels: Labels
    items: tuple[ItemId, ...]


def explain(
    configuration: Configuration, table: EndpointTable, caller: CallerId, target: str
) -> Explanation:
    """Return which group and endpoints a request would be routed to, and why.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    table : EndpointTable
        Owners of endpoints and resident items.
    caller : CallerId
        The caller; one that is not configured has no labels.
    target : str
        ``MODEL``, ``MODEL:ADAPTER``, ``SERVICE`` or ``SERVICE/OPERATION``.

    Raises
    ------
    RefusalError
        If the target is not configured.
    """
    resolved_target = _find_target(configuration, target)
    configured_caller = configuration.callers_by_id.get(caller)
    group_matches: list[GroupMatch] = []
    matched: ServingGroup | None = None
    groups = configuration.groups_by_id.values()
    for group in sorted(groups, key=lambda item: (item.order, item.id)):
        mismatch = _match_group(
            group,
            configured_caller.labels if configured_caller else {},
            resolved_target.labels,
        )
        group_matches.append(GroupMatch(group, mismatch))
        if mismatch is None:
            matched = group
            break
    endpoints = (
        tuple(
            _match_endpoint(item, matched, resolved_target, table.find(item.id))
            for item in configuration.endpoints_by_id.values()
            if item.kind is resolved_target.kind
        )
        if matched
        else ()
    )
    return Explanation(
        caller,
        configured_caller is not None,
        target,
        resolved_target.kind,
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
            f"no adapter {adapter_id!r} based on model {model_id!r}",
            field="target",
        )
    items = (ItemId(model.id), ItemId(target))
    return _Target(EndpointKind.ENGINE, {**model.labels, **adapter.labels}, items)


def _match_group(
    group: ServingGroup, caller: Labels, target: Labels
) -> Mismatch | None:
    return _find_mismatch(
        SelectorKind.CALLERS, group.callers, caller
    ) or _find_mismatch(SelectorKind.TARGETS, group.targets, target)


def _match_endpoint(
    endpoint: Endpoint,
    group: ServingGroup,
    target: _Target,
    record: EndpointRecord | None,
) -> EndpointMatch:
    mismatch = _find_mismatch(SelectorKind.ENDPOINTS, group.endpoints, endpoint.labels)
    leaving = mismatch is None and not accepts_new_work(endpoint, group)
    resident = record is not None and all(
        item in record.resident_mb_by_item for item in target.items
    )
    owner = record.owner if record else None
    return EndpointMatch(endpoint.id, leaving, mismatch, owner, resident)


def _find_mismatch(
    kind: SelectorKind, selector: Selector, labels: Labels
) -> Mismatch | None:
    for requirement in selector.requirements:
        if not selects(Selector((requirement,)), labels):
            return Mismatch(kind, requirement, labels)
    return None
