"""JSON form of configurations and of operators' changes to them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from camphoryard.coordination.configuration.changes import Change
from camphoryard.protocol.selectors import (
    SelectorSyntaxError,
    format_selector,
    parse_selector,
)
from camphoryard.protocol.strict import FieldError, convert_strict
from camphoryard.state.configuration import (
    Adapter,
    Caller,
    Configuration,
    Endpoint,
    Model,
    Service,
    ServingGroup,
)
from camphoryard.state.enums import Priority, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import Generation, GroupId, WriteId
from camphoryard.state.labels import Selector


@dataclass(frozen=True, slots=True)
class GroupForm:
    """A serving group with its selectors as text."""

    id: GroupId
    priority: Priority
    callers: str = ""
    targets: str = ""
    endpoints: str = ""
    order: int = 100
    max_concurrent: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationForm:
    """JSON form of a configuration or a change."""

    generation: int = 0
    models: list[Model] = field(default_factory=list)
    adapters: list[Adapter] = field(default_factory=list)
    endpoints: list[Endpoint] = field(default_factory=list)
    callers: list[Caller] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    groups: list[GroupForm] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ChangeForm(ConfigurationForm):
    """JSON form of a change from ``apply``; ``removed`` lists ``kind/id``."""

    removed: list[str] = field(default_factory=list)
    base: int | None = None
    write_id: str = ""


_CONFIGURATION = msgspec.json.Decoder(ConfigurationForm)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the JSON form; equal configurations give equal bytes."""
    form = configuration_form(configuration)
    return msgspec.json.encode(form, order="deterministic")


def configuration_form(configuration: Configuration) -> ConfigurationForm:
    """Return the form of a configuration that is shown to operators."""
    return ConfigurationForm(
        configuration.generation,
        _sorted(configuration.models_by_id),
        _sorted(configuration.adapters_by_id),
        _sorted(configuration.endpoints_by_id),
        _sorted(configuration.callers_by_id),
        _sorted(configuration.services_by_id),
        [_group_form(item) for item in _sorted(configuration.groups_by_id)],
    )


def decode_configuration(body: bytes) -> Configuration:
    """Return the configuration in ``body``; raises ``ValueError`` if invalid."""
    try:
        return _configuration(_CONFIGURATION.decode(body))
    except FieldError as error:
        raise ValueError(str(error)) from error


def decode_change(body: bytes) -> Change:
    """Return the change that an operator sent.

    Raises
    ------
    RefusalError
        If the change is invalid; names the field.
    """
    try:
        raw = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise RefusalError(Reason.BAD_JSON, str(error)) from error
    return convert_change(raw)


def convert_change(raw: Any) -> Change:
    """Return the change in decoded JSON or TOML; raises RefusalError."""
    try:
        form = convert_strict(raw, ChangeForm)
        _refuse_duplicates(form)
        items = _configuration(form)
    except FieldError as error:
        raise RefusalError(Reason.BAD_FIELD, str(error), field=error.field) from error
    base = Generation(form.base) if form.base is not None else None
    removed = frozenset(form.removed)
    if form.write_id:
        return Change(items, removed, base, WriteId(form.write_id))
    return Change(items, removed, base)


def _refuse_duplicates(form: ChangeForm) -> None:
    for name in ("models", "adapters", "endpoints", "callers", "services", "groups"):
        seen: set[str] = set()
        for index, item in enumerate(getattr(form, name)):
            if item.id in seen:
                raise FieldError(f"{name}[{index}].id", f"duplicate id {item.id!r}")
            seen.add(item.id)


def _configuration(form: ConfigurationForm) -> Configuration:
    return Configuration(
        Generation(form.generation),
        {item.id: item for item in form.models},
        {item.id: item for item in form.adapters},
        {item.id: item for item in form.endpoints},
        {item.id: item for item in form.callers},
        {item.id: item for item in form.services},
        {
            item.id: _group(item, f"groups[{index}]")
            for index, item in enumerate(form.groups)
        },
    )


def _group(form: GroupForm, path: str) -> ServingGroup:
    return ServingGroup(
        form.id,
        form.priority,
        _selector(form.callers, f"{path}.callers"),
        _selector(form.targets, f"{path}.targets"),
        _selector(form.endpoints, f"{path}.endpoints"),
        form.order,
        form.max_concurrent,
    )


def _selector(text: str, path: str) -> Selector:
    try:
        return parse_selector(text)
    except SelectorSyntaxError as error:
        raise FieldError(path, str(error)) from error


def _group_form(group: ServingGroup) -> GroupForm:
    return GroupForm(
        group.id,
        group.priority,
        format_selector(group.callers),
        format_selector(group.targets),
        format_selector(group.endpoints),
        group.order,
        group.max_concurrent,
    )


def _sorted(items_by_id: Mapping[Any, Any]) -> list[Any]:
    return [items_by_id[key] for key in sorted(items_by_id)]
