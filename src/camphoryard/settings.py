"""Settings of the daemon, read from a TOML file and validated."""

import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from ipaddress import ip_address
from pathlib import Path
from typing import Literal

from camphoryard.protocol.strict import FieldError, convert_strict
from camphoryard.secret_files import read_secret_files
from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import CallerId, NodeId, Zone

CURVE_KEY_CHARACTERS = 40
Z85 = re.compile(r"[0-9a-zA-Z.:+=^!/*?&<>()\[\]{}@%$#-]*")
MAX_PORT = 65_535


class SettingsError(CamphoryardError):
    """The settings file is invalid; the message says what to change."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Identity and addresses of this node; ``host`` is an IP address.

    ``source_host`` is the source IP address of outgoing connections, for a VM with
    several addresses; if it is empty, the operating system chooses.
    """

    id: NodeId
    zone: Zone
    host: str
    http_port: int
    peer_port: int
    source_host: str = ""


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Addresses of the platform's services.

    A ``vm_list_port`` of 0 means that the platform has no VM list.
    """

    object_api_host: str
    object_api_port: int
    object_api_token: str = field(default="", repr=False)
    vm_list_host: str = ""
    vm_list_port: int = 0


@dataclass(frozen=True, slots=True)
class SeedSettings:
    """A node to contact at startup in case the object API is unavailable."""

    id: NodeId
    host: str
    port: int
    public_key: str


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """CURVE keys (Z85 text), node leases, seeds and gossip.

    ``advertised_host`` and ``advertised_port`` are the address that other nodes
    connect to, if a forwarder is in front of this node.
    ``fan_out``, ``neighbours``, ``digests`` and ``news_fan_out`` apply to
    ``bounded_fan_out`` only.
    """

    public_key: str
    secret_key: str = field(repr=False)
    accepted_public_keys: list[str] = field(default_factory=list)
    lease_s: float = 6.0
    seeds: list[SeedSettings] = field(default_factory=list)
    gossip: Literal["all_to_all", "bounded_fan_out"] = "all_to_all"
    gossip_period_s: float = 1.0
    fan_out: int = 2
    neighbours: int = 8
    digests: int = 12
    advertised_host: str = ""
    advertised_port: int = 0
    news_fan_out: int = 4


@dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """How long a configuration stays valid unconfirmed, and which nodes watch it.

    A node admits no requests ``stale_after_s`` after the last confirmation of its
    configuration. With a ``watchers_per_zone`` of 0, every node watches the object
    API.
    """

    stale_after_s: float = 10.0
    watchers_per_zone: int = 0


@dataclass(frozen=True, slots=True)
class AccessSettings:
    """Tokens of operators, and tokens of callers by caller id."""

    operator_tokens: list[str] = field(repr=False)
    caller_token_by_id: Mapping[CallerId, str] = field(repr=False)


@dataclass(frozen=True, slots=True)
class DecisionSettings:
    """The policy used for each decision."""

    routing: Literal[
        "round_robin", "least_in_flight", "two_choices", "prefix_affinity"
    ] = "two_choices"
    admission: Literal["unlimited", "first_come", "deadline_first"] = "deadline_first"
    queue_limit: int = 256
    engine_slots: int = 64
    retry_share: float = 0.2
    placement: Literal["static", "load_on_demand", "demand"] = "demand"
    move_cost_slots: float = 0.15
    eviction: Literal["least_recently_used", "least_demand"] = "least_demand"
    weight_budget: Literal["unpaced", "paced"] = "paced"
    weight_loads_per_s: float = 1.0
    weight_loads_at_once: int = 8


@dataclass(frozen=True, slots=True)
class ServingSettings:
    """Limits of serving.

    ``grace_s`` is how long a stopping node still admits requests.
    ``max_answer_bytes`` applies to answers that are not streamed.
    """

    first_token_limit_s: float = 10.0
    stall_s: float = 2.0
    grace_s: float = 2.0
    max_answer_bytes: int = 4 << 20


@dataclass(frozen=True, slots=True)
class JobSettings:
    """Maximum number of open jobs, in total and for each caller."""

    max_open: int = 2000
    max_open_per_caller: int = 500


@dataclass(frozen=True, slots=True)
class ResidencySettings:
    """Times, in seconds, that bound loads and unloads of items (models and adapters).

    ``order_lifetime_s`` is how long an order may be in transit after its sender
    stopped sending. ``min_residency_s`` is how long an item stays loaded before it
    may be evicted. ``longest_absence_s`` is how long a requested item may be loaded
    nowhere before it is loaded even if the evicted items serve more demand.
    ``orders_may_be_copied`` says that the network between node and engine may deliver
    an order again after its answer.
    """

    order_lifetime_s: float = 60.0
    min_residency_s: float = 5.0
    orders_may_be_copied: bool = False
    longest_absence_s: float = 10.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon."""

    node: NodeSettings
    platform: PlatformSettings
    peers: PeerSettings
    access: AccessSettings
    configuration: ConfigurationSettings = field(default_factory=ConfigurationSettings)
    decisions: DecisionSettings = field(default_factory=DecisionSettings)
    jobs: JobSettings = field(default_factory=JobSettings)
    residency: ResidencySettings = field(default_factory=ResidencySettings)
    serving: ServingSettings = field(default_factory=ServingSettings)


def read_settings(path: Path) -> Settings:
    """Return the settings in a file.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is invalid; the message names the file,
        the field and the expected value.
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
        read_secret_files(raw, path.parent)
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
    _check_ip_address("node.source_host", settings.node.source_host)
    _check_ip_address("peers.advertised_host", settings.peers.advertised_host)
    if settings.peers.advertised_port:
        _check_port("peers.advertised_port", settings.peers.advertised_port)
    if settings.peers.lease_s <= 0:
        raise FieldError("peers.lease_s", "expected seconds above 0")
    for index, key in enumerate(settings.peers.accepted_public_keys):
        _check_key(f"peers.accepted_public_keys[{index}]", key)
    for index, seed in enumerate(settings.peers.seeds):
        _check_port(f"peers.seeds[{index}].port", seed.port)
        _check_key(f"peers.seeds[{index}].public_key", seed.public_key)
    for name in ("fan_out", "neighbours", "digests", "news_fan_out"):
        if getattr(settings.peers, name) < 1:
            raise FieldError(f"peers.{name}", "expected a number above 0")
    if settings.configuration.watchers_per_zone < 0:
        raise FieldError("configuration.watchers_per_zone", "expected 0 or more")
    if settings.peers.gossip_period_s <= 0:
        raise FieldError("peers.gossip_period_s", "expected seconds above 0")
    if settings.configuration.stale_after_s <= 0:
        raise FieldError("configuration.stale_after_s", "expected seconds above 0")
    if settings.residency.order_lifetime_s <= 0:
        raise FieldError("residency.order_lifetime_s", "expected seconds above 0")
    if settings.residency.min_residency_s < 0:
        raise FieldError("residency.min_residency_s", "expected 0 seconds or more")
    if settings.serving.max_answer_bytes < 1:
        raise FieldError("serving.max_answer_bytes", "expected bytes above 0")
    for name in ("max_open", "max_open_per_caller"):
        if getattr(settings.jobs, name) < 1:
            raise FieldError(f"jobs.{name}", "expected a number above 0")
    if settings.residency.longest_absence_s < 0:
        raise FieldError("residency.longest_absence_s", "expected 0 seconds or more")
    if not all(settings.access.operator_tokens):
        raise FieldError("access.operator_tokens", "a token must not be empty")
    if not all(settings.access.caller_token_by_id.values()):
        raise FieldError("access.caller_token_by_id", "a token must not be empty")


def _check_port(name: str, port: int) -> None:
    if not 1 <= port <= MAX_PORT:
        raise FieldError(name, f"expected a port, 1 to {MAX_PORT}, got {port}")


def _check_ip_address(name: str, host: str) -> None:
    """Check an IP address that may be empty."""
    if not host:
        return
    try:
        ip_address(host)
    except ValueError as error:
        raise FieldError(name, f"expected an IP address, got {host!r}") from error


def _check_key(name: str, key: str) -> None:
    if len(key) != CURVE_KEY_CHARACTERS or not Z85.fullmatch(key):
        raise FieldError(
            name,
            f"expected a CURVE key of {CURVE_KEY_CHARACTERS} Z85 characters;"
            " `camphoryard keys` generates a pair",
        )
