"""Encoded form of relayed changes of endpoints, without field names."""

from collections.abc import Mapping

import msgspec

from camphoryard.state.endpoint_relay import EndpointRelay, RelayedEndpoint
from camphoryard.state.ids import (
    AdapterId,
    EndpointId,
    Incarnation,
    ModelId,
    Revision,
    ServiceId,
    Zone,
)
from camphoryard.state.serving_endpoints import (
    EndpointState,
    HostPort,
    LoadedModel,
    ServingEndpoint,
)


class _EndpointForm(msgspec.Struct, array_like=True, frozen=True):
    id: EndpointId
    service: ServiceId
    host: str
    port: int
    zone: Zone
    slots: int
    state: EndpointState
    started_ms: int
    loaded_by_model: Mapping[ModelId, tuple[int, tuple[AdapterId, ...]]]


class RelayForm(msgspec.Struct, array_like=True, frozen=True):
    """A relay of changes; removed endpoints are listed by id alone."""

    since: Revision
    until: Revision
    incarnation: Incarnation
    heard_beat: int
    removed: tuple[EndpointId, ...] = ()
    changed: tuple[_EndpointForm, ...] = ()


def relay_form(relay: EndpointRelay | None) -> RelayForm | None:
    """Return the form of a relay."""
    if relay is None:
        return None
    return RelayForm(
        relay.since,
        relay.until,
        relay.incarnation,
        relay.heard_beat,
        tuple(item.id for item in relay.changes if item.endpoint is None),
        tuple(
            _endpoint_form(item.endpoint)
            for item in relay.changes
            if item.endpoint is not None
        ),
    )


def read_relay(form: RelayForm | None) -> EndpointRelay | None:
    """Return the relay that a form stands for."""
    if form is None:
        return None
    removed = (RelayedEndpoint(id, None) for id in form.removed)
    changed = (RelayedEndpoint(item.id, _read_endpoint(item)) for item in form.changed)
    return EndpointRelay(
        form.since,
        form.until,
        (*removed, *changed),
        form.incarnation,
        form.heard_beat,
    )


def _endpoint_form(endpoint: ServingEndpoint) -> _EndpointForm:
    return _EndpointForm(
        endpoint.id,
        endpoint.service,
        endpoint.address.host,
        endpoint.address.port,
        endpoint.zone,
        endpoint.slots,
        endpoint.state,
        endpoint.started_ms,
        {
            model: (loaded.version, tuple(sorted(loaded.adapters)))
            for model, loaded in endpoint.loaded_by_model.items()
        },
    )


def _read_endpoint(form: _EndpointForm) -> ServingEndpoint:
    return ServingEndpoint(
        form.id,
        form.service,
        HostPort(form.host, form.port),
        form.zone,
        form.slots,
        form.state,
        form.started_ms,
        {
            model: LoadedModel(version, frozenset(adapters))
            for model, (version, adapters) in form.loaded_by_model.items()
        },
    )
