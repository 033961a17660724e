"""The daemon's settings, read from a TOML file and checked."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Literal

from camphoryard.protocol.strict import FieldError, convert_strict
from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import CallerId, NodeId, Zone

CURVE_KEY_CHARACTERS = 40
MAX_PORT = 65_535


class SettingsError(CamphoryardError):
    """The settings file cannot be used; the message says what to change."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Where this node is and listens; ``host`` is an IP number."""

    id: NodeId
    zone: Zone
    host: str
    http_port: int
    peer_port: int


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the platform's services are."""

    object_api_host: str
    object_api_port: int
    object_api_token: str = ""
    vm_list_host: str = ""
    vm_list_port: int = 0


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """CURVE keys (Z85 text) and the length of node leases."""

    public_key: str
    secret_key: str
    accepted_public_keys: list[str] = field(default_factory=list)
    lease_s: float = 6.0


@dataclass(frozen=True, slots=True)
class AccessSettings:
    """Tokens of operators, and of callers by caller id."""

    operator_tokens: list[str]
    caller_token_by_id: Mapping[CallerId, str]


@dataclass(frozen=True, slots=True)
class DecisionSettings:
    """Which variant of each decision is used."""

    routing: Literal[
        "round_robin", "least_in_flight", "two_choices", "prefix_affinity"
    ] = "two_choices"
    admission: Literal["unlimited", "first_come", "deadline_first"] = "deadline_first"
    queue_limit: int = 256
    engine_slots: int = 64
    retry_share: float = 0.2
    placement: Literal["static", "load_on_demand", "demand"] = "demand"
    move_cost_slots: float = 0.15
    weight_budget: Literal["unpaced", "paced"] = "paced"
    weight_loads_per_s: float = 1.0
    weight_loads_at_once: int = 8


@dataclass(frozen=True, slots=True)
class ServingSettings:
    """Bounds of serving; ``grace_s`` is how long a stopping node still admits."""

    first_token_limit_s: float = 10.0
    stall_s: float = 2.0
    grace_s: float = 2.0


@dataclass(frozen=True, slots=True)
class ResidencySettings:
    """Times, in seconds, that bound loads and unloads.

    ``order_lifetime_s`` is how long an order may be on its way after its sender
    stopped sending; ``min_residency_s`` is how long an item stays before it may
    make room for another.
    """

    order_lifetime_s: float = 60.0
    min_residency_s: float = 5.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon."""

    node: NodeSettings
    platform: PlatformSettings
    peers: PeerSettings
    access: AccessSettings
    decisions: DecisionSettings = field(default_factory=DecisionSettings)
    residency: ResidencySettings = field(default_factory=ResidencySettings)
    serving: ServingSettings = field(default_factory=ServingSettings)


def read_settings(path: Path) -> Settings:
    """Return the settings in a file.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is wrong; names file, field and
        what was expected.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(
            f"{path}: cannot be read ({error.strerror}); give the path of a TOML file"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    try:
        settings = convert_strict(raw, Settings)
        _check(settings)
    except FieldError as error:
        raise SettingsError(f"{path}: {error}") from error
    return settings


def _check(settings: Settings) -> None:
    _check_port("node.http_port", settings.node.http_port)
    _check_port("node.peer_port", settings.node.peer_port)
    _check_port("platform.object_api_port", settings.platform.object_api_port)
    if settings.platform.vm_list_port:
        _check_port("platform.vm_list_port", settings.platform.vm_list_port)
    _check_key("peers.public_key", settings.peers.public_key)
    _check_key("peers.secret_key", settings.peers.secret_key)
    if settings.peers.lease_s <= 0:
        raise FieldError("peers.lease_s", "expected a number of seconds above 0")
    if settings.residency.order_lifetime_s <= 0:
        raise FieldError("residency.order_lifetime_s", "expected seconds above 0")
    if settings.residency.min_residency_s < 0:
        raise FieldError("residency.min_residency_s", "expected no negative seconds")
    if not all(settings.access.operator_tokens):
        raise FieldError("access.operator_tokens", "a token must not be empty")
    if not all(settings.access.caller_token_by_id.values()):
        raise FieldError("access.caller_token_by_id", "a token must not be empty")


def _check_port(name: str, port: int) -> None:
    if not 1 <= port <= MAX_PORT:
        raise FieldError(name, f"expected a port, 1 to {MAX_PORT}, got {port}")


def _check_key(name: str, key: str) -> None:
    if len(key) != CURVE_KEY_CHARACTERS:
        raise FieldError(
            name,
            f"expected a CURVE key of {CURVE_KEY_CHARACTERS} Z85 characters;"
            " `camphoryard keys` makes a pair",
        )
