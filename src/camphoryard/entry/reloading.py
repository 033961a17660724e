"""Settings that change while the daemon runs."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field, fields, replace
from pathlib import Path

from camphoryard.coordination.forwarding.context import DecisionLog
from camphoryard.coordination.ports import Timer
from camphoryard.entry.settings import Bounds, EntrySettings
from camphoryard.settings import SettingsError

LOOK_PERIOD_S = 1.0
"""How often the file is looked at: it may change without a signal."""


@dataclass(slots=True)
class LiveSettings:
    """The settings in force, and the file that they are read from.

    New bounds take effect at once; ``subscribe`` tells parts of them. Addresses and
    names cannot change in a running process: they are reported and wait for the
    next start. A file that cannot be read changes nothing.

    Parameters
    ----------
    read : callable
        Returns the settings in a file; raises SettingsError.
    """

    path: Path
    current: EntrySettings
    read: Callable[[Path], EntrySettings]
    log: DecisionLog
    _subscribers: list[Callable[[Bounds], None]] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _seen: bytes = b""

    def __post_init__(self) -> None:
        self._seen = self._content()

    def subscribe(self, take: Callable[[Bounds], None]) -> None:
        """Have ``take`` called with new bounds."""
        self._subscribers.append(take)

    def run(self, timer: Timer) -> None:
        """Look for changes of the file until the timer service closes."""
        for _ in timer.every(LOOK_PERIOD_S):
            self.look()

    def look(self) -> bool:
        """Read the file if it has changed; return whether it had."""
        with self._lock:
            content = self._content()
            if content == self._seen:
                return False
            self._seen = content
            try:
                new = self.read(self.path)
            except SettingsError as error:
                self.log("settings_rejected", error=str(error))
                return True
            self._adopt(new)
            return True

    def _adopt(self, new: EntrySettings) -> None:
        old = self.current
        changed = _changed(old.bounds, new.bounds)
        waiting = _changed(old, new) - {"bounds"}
        self.current = replace(old, bounds=new.bounds)
        for take in self._subscribers if changed else ():
            take(new.bounds)
        self.log(
            "settings_reloaded",
            changed=",".join(sorted(changed)),
            needs_restart=",".join(sorted(waiting)),
        )

    def _content(self) -> bytes:
        try:
            return self.path.read_bytes()
        except OSError:
            # Reading it as settings reports why.
            return b""


def _changed(
    old: Bounds | EntrySettings, new: Bounds | EntrySettings
) -> frozenset[str]:
    return frozenset(
        item.name
        for item in fields(old)
        if getattr(old, item.name) != getattr(new, item.name)
    )
