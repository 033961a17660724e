"""The settings file that the platform provides to each process."""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from camphoryard.coordination.loading.store_rate import LoadLimits
from camphoryard.coordination.routing.retry_window import RepeatLimits
from camphoryard.entry.settings import (
    DEFAULT_METRICS_PORT,
    DEFAULT_QUOTA_WINDOW_S,
    Bounds,
    EntrySettings,
    VmLimits,
)
from camphoryard.settings import SettingsError
from camphoryard.state.ids import NodeId, Zone
from camphoryard.state.serving_endpoints import HostPort

FILE_VARIABLE = "CAMPHORYARD_NODE_FILE"
DEFAULT_FILE = "/etc/camphoryard/node.toml"
MILLISECONDS_PER_SECOND = 1000


class _Listen(msgspec.Struct, frozen=True):
    # IP:PORT of the client-facing listener.
    front: str
    ready: str


class _Limits(msgspec.Struct, frozen=True, rename="kebab"):
    memory_mb: int = 0
    max_fds: int = 0
    link_mbps: float = 0.0


class _Bounds(msgspec.Struct, frozen=True, rename="kebab"):
    stable_window_ms: float = 3000
    config_apply_ms: float = 2000
    drain_ms: float = 2000
    grace_s: float = 8
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_extra: float = 50
    lease_ms: float = 3000
    require_fence: bool = False
    ceiling_window_s: float = 5
    ceiling_excess: float = 1.1
    quota_window_s: float = DEFAULT_QUOTA_WINDOW_S


class _Store(msgspec.Struct, frozen=True):
    address: str


class _File(msgspec.Struct, frozen=True, rename="kebab"):
    node_name: str
    ip: str
    zone: str
    inner_port_range: tuple[int, int]
    listen: _Listen
    cloud_platform: _Store
    limits: _Limits = _Limits()
    # Not set by the platform: additional port for metrics, 0 for none.
    metrics_port: int = DEFAULT_METRICS_PORT
    bounds: _Bounds = _Bounds()
    # Whether the whole system starts for the first time.
    bootstrap: bool = True


def settings_path(environ: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the settings file."""
    return Path(environ.get(FILE_VARIABLE, DEFAULT_FILE))


def read_entry_settings(path: Path) -> EntrySettings:
    """Return the settings in a file; unknown fields are ignored.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a field is missing or invalid; names the field.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read ({error.strerror})") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    return decode_entry_settings(raw, str(path))


def decode_entry_settings(raw: Mapping[str, Any], source: str) -> EntrySettings:
    """Return the settings in a parsed file; raises SettingsError."""
    try:
        file = msgspec.convert(raw, _File)
        return EntrySettings(
            NodeId(file.node_name),
            Zone(file.zone),
            file.ip,
            _host_port("listen.front", file.listen.front),
            _host_port("listen.ready", file.listen.ready),
            file.inner_port_range,
            _host_port("cloud-platform.address", file.cloud_platform.address),
            _bounds(file.bounds),
            file.metrics_port,
            file.bootstrap,
            VmLimits(file.limits.memory_mb, file.limits.max_fds, file.limits.link_mbps),
        )
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError(f"{source}: {error}") from error


def _bounds(bounds: _Bounds) -> Bounds:
    return Bounds(
        bounds.stable_window_ms / MILLISECONDS_PER_SECOND,
        bounds.config_apply_ms / MILLISECONDS_PER_SECOND,
        bounds.drain_ms / MILLISECONDS_PER_SECOND,
        bounds.grace_s,
        RepeatLimits(
            bounds.retry_budget_ratio, bounds.budget_extra, bounds.budget_window_s
        ),
        bounds.lease_ms / MILLISECONDS_PER_SECOND,
        bounds.require_fence,
        LoadLimits(bounds.ceiling_window_s, bounds.ceiling_excess),
        bounds.quota_window_s,
    )


def _host_port(name: str, text: str) -> HostPort:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{name}: expected IP:PORT, got {text!r}")
    return HostPort(host, int(port))
