"""Reloading of settings while the daemon runs."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field, fields, replace
from pathlib import Path

from camphoryard.coordination.ports import DecisionLog, Timer
from camphoryard.entry.settings import Bounds, EntrySettings
from camphoryard.settings import SettingsError

RELOAD_PERIOD_S = 1.0
"""Period in which the file is checked, as it may change without a signal."""


@dataclass(slots=True)
class LiveSettings:
    """The current settings and the file that they are read from.

    Changed bounds take effect at once, and subscribers are called with them. Changes
    of addresses and names are logged and need a restart. An unreadable or invalid
    file changes nothing.

    Parameters
    ----------
    read : callable
        Return the settings in a file; raise SettingsError if it is invalid.
    """

    path: Path
    current: EntrySettings
    read: Callable[[Path], EntrySettings]
    log: DecisionLog
    _subscribers: list[Callable[[Bounds], None]] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _last_content: bytes = b""

    def __post_init__(self) -> None:
        self._last_content = self._content()

    def subscribe(self, callback: Callable[[Bounds], None]) -> None:
        """Call ``callback`` with the new bounds after each change."""
        self._subscribers.append(callback)

    def run(self, timer: Timer) -> None:
        """Reload the file when it changes, until the timer service closes."""
        for _ in timer.every(RELOAD_PERIOD_S):
            self.reload_if_changed()

    def reload_if_changed(self) -> bool:
        """Read the file if its content changed; return whether it did."""
        with self._lock:
            content = self._content()
            if content == self._last_content:
                return False
            self._last_content = content
            try:
                new = self.read(self.path)
            except SettingsError as error:
                self.log("settings_rejected", error=str(error))
                return True
            self._apply(new)
            return True

    def _apply(self, new: EntrySettings) -> None:
        old = self.current
        changed = _changed_fields(old.bounds, new.bounds)
        needs_restart = _changed_fields(old, new) - {"bounds"}
        self.current = replace(old, bounds=new.bounds)
        for callback in self._subscribers if changed else ():
            callback(new.bounds)
        self.log(
            "settings_reloaded",
            changed=",".join(sorted(changed)),
            needs_restart=",".join(sorted(needs_restart)),
        )

    def _content(self) -> bytes:
        try:
            return self.path.read_bytes()
        except OSError:
            # `read` reports the reason.
            return b""


def _changed_fields(
    old: Bounds | EntrySettings, new: Bounds | EntrySettings
) -> frozenset[str]:
    return frozenset(
        item.name
        for item in fields(old)
        if getattr(old, item.name) != getattr(new, item.name)
    )
