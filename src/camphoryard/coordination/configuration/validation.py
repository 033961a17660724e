"""Checks that a configuration must pass before it is accepted."""

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
    """Raise RefusalError, naming the item and field, for a change that is wrong."""
    for table in item_tables():
        for key in getattr(change.items, table):
            _check_id(item_kind(table), key)
    _check_limits(change.items)
    _check_removed(current, change)


def check_configuration(whole: Configuration) -> None:
    """Raise RefusalError, naming the item and field, if items do not fit together."""
    for model in whole.models_by_id.values():
        _check_memory(f"model/{model.id}", model.memory_mb)
    for adapter in whole.adapters_by_id.values():
        name = f"adapter/{adapter.id}"
        _check_memory(name, adapter.memory_mb)
        if adapter.base not in whole.models_by_id:
            raise _wrong(
                f"{name}.base",
                f"no model {adapter.base!r}; set it in the same change, or remove"
                " the adapter with it",
            )
    for endpoint in whole.endpoints_by_id.values():
        _check_endpoint(endpoint)


def warnings(whole: Configuration) -> tuple[str, ...]:
    """Return what is allowed but hardly meant, one sentence each."""
    return (*_group_warnings(whole), *_reach_warnings(whole))


def _check_id(kind: str, key: str) -> None:
    if len(key) <= MAX_ID_CHARACTERS and _ID.fullmatch(key):
        return
    raise _wrong(
        f"{kind}/{key}.id",
        f"an id has letters, digits, '.', '_' and '-', begins with a letter or"
        f" digit and has at most {MAX_ID_CHARACTERS} characters",
    )


def _check_removed(current: Configuration, change: Change) -> None:
    kinds = {item_kind(table): table for table in item_tables()}
    for name in sorted(change.removed):
        kind, _, key = name.partition("/")
        if kind not in kinds:
            known = ", ".join(sorted(kinds))
            raise _wrong("removed", f"{name!r}: expected KIND/ID with KIND of {known}")
        if key in getattr(change.items, kinds[kind]):
            raise _wrong("removed", f"{name!r} is both set and removed")
        if key not in getattr(current, kinds[kind]):
            raise _wrong("removed", f"{name!r} is not configured")


def _check_memory(name: str, memory_mb: int) -> None:
    if memory_mb <= 0:
        raise _wrong(f"{name}.memory_mb", f"expected MB above 0, got {memory_mb}")


def _check_endpoint(endpoint: Endpoint) -> None:
    name = f"endpoint/{endpoint.id}"
    try:
        ipaddress.ip_address(endpoint.host)
    except ValueError as error:
        raise _wrong(
            f"{name}.host", f"expected an IP number, got {endpoint.host!r}"
        ) from error
    if not 1 <= endpoint.port <= MAX_PORT:
        raise _wrong(
            f"{name}.port", f"expected a port, 1 to {MAX_PORT}, got {endpoint.port}"
        )
    if endpoint.kind is EndpointKind.ENGINE:
        _check_memory(name, endpoint.memory_mb)


def _check_limits(items: Configuration) -> None:
    """Check limits of what is changed; those accepted earlier bar no change."""
    for caller in items.callers_by_id.values():
        _check_limit_label(f"caller/{caller.id}", caller.labels)
    for group in items.groups_by_id.values():
        if group.max_concurrent < 0:
            raise _wrong(
                f"group/{group.id}.max_concurrent",
                f"expected requests, 0 for no limit, got {group.max_concurrent}",
            )


def _check_limit_label(name: str, labels: Labels) -> None:
    text = labels.get(LIMIT_LABEL)
    if text is None or _LIMIT.fullmatch(text):
        return
    raise _wrong(
        f"{name}.labels.{LIMIT_LABEL}",
        f"expected a whole number of requests in digits, such as '8', or '0' for"
        f" no limit, got {text!r}",
    )


def _wrong(field: str, detail: str) -> RefusalError:
    return RefusalError(Reason.BAD_FIELD, f"{field}: {detail}", field=field)


def _group_warnings(whole: Configuration) -> Iterator[str]:
    targets = list(_target_labels(whole))
    callers = _labels(whole.callers_by_id)
    endpoints = _labels(whole.endpoints_by_id)
    for group in whole.groups_by_id.values():
        if not _any(group.callers, [*callers, {}]):
            yield f"group/{group.id}: selects no caller"
        if not _any(group.targets, targets):
            yield f"group/{group.id}: selects no model, adapter or service"
        if not _any(group.endpoints, endpoints):
            yield f"group/{group.id}: selects no endpoint"


def _reach_warnings(whole: Configuration) -> Iterator[str]:
    engines = [
        item
        for item in whole.endpoints_by_id.values()
        if item.kind is EndpointKind.ENGINE
    ]
    for model in whole.models_by_id.values():
        groups = [
            group
            for group in whole.groups_by_id.values()
            if selects(group.targets, model.labels)
        ]
        if not groups:
            yield f"model/{model.id}: no group selects it, so no caller reaches it"
        elif not any(
            engine.memory_mb >= model.memory_mb and _takes(groups, engine)
            for engine in engines
        ):
            yield f"model/{model.id}: fits at no engine of the groups that select it"


def _takes(groups: Iterable[ServingGroup], endpoint: Endpoint) -> bool:
    return any(selects(group.endpoints, endpoint.labels) for group in groups)


def _target_labels(whole: Configuration) -> Iterator[Labels]:
    yield from _labels(whole.models_by_id)
    yield from _labels(whole.services_by_id)
    for adapter in whole.adapters_by_id.values():
        base = whole.models_by_id[adapter.base]
        yield {**base.labels, **adapter.labels}


def _labels(items_by_id: Mapping[Any, Any]) -> list[Labels]:
    return [item.labels for item in items_by_id.values()]


def _any(selector: Selector, labels: Iterable[Labels]) -> bool:
    return any(selects(selector, item) for item in labels)
