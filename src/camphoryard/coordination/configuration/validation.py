"""Checks of a configuration change and of the resulting configuration."""

import ipaddress
import re
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from camphoryard.coordination.admission.concurrency_limits import LIMIT_LABEL
from camphoryard.coordination.configuration.changes import (
    Change,
    item_kind,
    item_tables,
)
from camphoryard.state.configuration import Configuration, Endpoint, ServingGroup
from camphoryard.state.enums import EndpointKind, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.labels import Labels, Selector, selects

MAX_ID_CHARACTERS = 100
MAX_PORT = 65_535
_LIMIT = re.compile(r"[0-9]{1,9}")
_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


def check_change(current: Configuration, change: Change) -> None:
    """Raise RefusalError, naming item and field, if an id, limit or removal is bad."""
    for table in item_tables():
        for key in getattr(change.items, table):
            _check_id(item_kind(table), key)
    _check_changed_limits(change.items)
    _check_removed(current, change)


def check_configuration(configuration: Configuration) -> None:
    """Raise RefusalError, naming item and field, if items contradict each other."""
    for model in configuration.models_by_id.values():
        _check_memory(f"model/{model.id}", model.memory_mb)
    for adapter in configuration.adapters_by_id.values():
        name = f"adapter/{adapter.id}"
        _check_memory(name, adapter.memory_mb)
        if adapter.base not in configuration.models_by_id:
            raise _bad_field(
                f"{name}.base",
                f"no model {adapter.base!r}; add it in the same change, or remove"
                " the adapter in the same change",
            )
    for endpoint in configuration.endpoints_by_id.values():
        _check_endpoint(endpoint)


def find_warnings(configuration: Configuration) -> tuple[str, ...]:
    """Return one sentence for each setting that is valid but probably a mistake."""
    return (
        *_group_warnings(configuration),
        *_unreachable_model_warnings(configuration),
    )


def _check_id(kind: str, key: str) -> None:
    if len(key) <= MAX_ID_CHARACTERS and _ID.fullmatch(key):
        return
    raise _bad_field(
        f"{kind}/{key}.id",
        f"an id has letters, digits, '.', '_' and '-', begins with a letter or"
        f" digit and has at most {MAX_ID_CHARACTERS} characters",
    )


def _check_removed(current: Configuration, change: Change) -> None:
    table_by_kind = {item_kind(table): table for table in item_tables()}
    for name in sorted(change.removed):
        kind, _, key = name.partition("/")
        if kind not in table_by_kind:
            names = ", ".join(sorted(table_by_kind))
            raise _bad_field(
                "removed", f"{name!r}: expected KIND/ID with KIND one of {names}"
            )
        if key in getattr(change.items, table_by_kind[kind]):
            raise _bad_field("removed", f"{name!r} is both set and removed")
        if key not in getattr(current, table_by_kind[kind]):
            raise _bad_field("removed", f"{name!r} is not configured")


def _check_memory(name: str, memory_mb: int) -> None:
    if memory_mb <= 0:
        raise _bad_field(
            f"{name}.memory_mb", f"expected more than 0 MB, got {memory_mb}"
        )


def _check_endpoint(endpoint: Endpoint) -> None:
    name = f"endpoint/{endpoint.id}"
    try:
        ipaddress.ip_address(endpoint.host)
    except ValueError as error:
        raise _bad_field(
            f"{name}.host", f"expected an IP address, got {endpoint.host!r}"
        ) from error
    if not 1 <= endpoint.port <= MAX_PORT:
        raise _bad_field(
            f"{name}.port", f"expected a port, 1 to {MAX_PORT}, got {endpoint.port}"
        )
    if endpoint.kind is EndpointKind.ENGINE:
        _check_memory(name, endpoint.memory_mb)


def _check_changed_limits(items: Configuration) -> None:
    """Check the limits of changed items; limits accepted earlier block no change."""
    for caller in items.callers_by_id.values():
        _check_limit_label(f"caller/{caller.id}", caller.labels)
    for group in items.groups_by_id.values():
        if group.max_concurrent < 0:
            raise _bad_field(
                f"group/{group.id}.max_concurrent",
                f"expected a number of requests, or 0 for no limit, got"
                f" {group.max_concurrent}",
            )


def _check_limit_label(name: str, labels: Labels) -> None:
    text = labels.get(LIMIT_LABEL)
    if text is None or _LIMIT.fullmatch(text):
        return
    raise _bad_field(
        f"{name}.labels.{LIMIT_LABEL}",
        f"expected a whole number of requests in digits, such as '8', or '0' for"
        f" no limit, got {text!r}",
    )


def _bad_field(field: str, detail: str) -> RefusalError:
    return RefusalError(Reason.BAD_FIELD, f"{field}: {detail}", field=field)


def _group_warnings(configuration: Configuration) -> Iterator[str]:
    targets = list(_target_labels(configuration))
    callers = _labels(configuration.callers_by_id)
    endpoints = _labels(configuration.endpoints_by_id)
    for group in configuration.groups_by_id.values():
        if not _selects_any(group.callers, [*callers, {}]):
            yield f"group/{group.id}: selects no caller"
        if not _selects_any(group.targets, targets):
            yield f"group/{group.id}: selects no model, adapter or service"
        if not _selects_any(group.endpoints, endpoints):
            yield f"group/{group.id}: selects no endpoint"


def _unreachable_model_warnings(configuration: Configuration) -> Iterator[str]:
    engines = [
        item
        for item in configuration.endpoints_by_id.values()
        if item.kind is EndpointKind.ENGINE
    ]
    for model in configuration.models_by_id.values():
        groups = [
            group
            for group in configuration.groups_by_id.values()
            if selects(group.targets, model.labels)
        ]
        if not groups:
            yield f"model/{model.id}: no group selects it, so no caller reaches it"
        elif not any(
            engine.memory_mb >= model.memory_mb and _any_group_selects(groups, engine)
            for engine in engines
        ):
            yield f"model/{model.id}: fits at no engine of the groups that select it"


def _any_group_selects(groups: Iterable[ServingGroup], endpoint: Endpoint) -> bool:
    return any(selects(group.endpoints, endpoint.labels) for group in groups)


def _target_labels(configuration: Configuration) -> Iterator[Labels]:
    yield from _labels(configuration.models_by_id)
    yield from _labels(configuration.services_by_id)
    for adapter in configuration.adapters_by_id.values():
        base = configuration.models_by_id[adapter.base]
        yield {**base.labels, **adapter.labels}


def _labels(items_by_id: Mapping[Any, Any]) -> list[Labels]:
    return [item.labels for item in items_by_id.values()]


def _selects_any(selector: Selector, labels: Iterable[Labels]) -> bool:
    return any(selects(selector, item) for item in labels)
