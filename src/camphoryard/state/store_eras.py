"""Versions that stay ordered when the store is restored from an older copy.

A restored store counts its revisions from that of the copy, and so gives some of them
out again. Its answers report each restore by a higher era. A version here is the
era and the revision in it, so that versions of a later era are always higher, and the
version of an object from before a restore never equals one from after it.
"""

import re
import threading

from camphoryard.state.ids import ABSENT, Revision, StoreEra, Version

ERA_SHIFT = 40
"""Bits of the revision within an era."""
MAX_REVISION = (1 << ERA_SHIFT) - 1
MAX_ERA = (1 << 22) - 1
"""Highest era with which versions still fit into 63 bits."""
MAX_ERA_DIGITS = 7
_ERA_PATTERN = re.compile(f"[0-9]{{1,{MAX_ERA_DIGITS}}}")
FIRST_ERA = StoreEra(0)
"""Era of a store that reports none."""


def read_era(text: str | None) -> StoreEra:
    """Return the era that an answer reports, `FIRST_ERA` if it reports none.

    Raises
    ------
    ValueError
        If it is not a number from 0 to `MAX_ERA`.
    """
    if text is None:
        return FIRST_ERA
    if not _ERA_PATTERN.fullmatch(text) or int(text) > MAX_ERA:
        raise ValueError(f"invalid era {text[:MAX_ERA_DIGITS]!r}")
    return StoreEra(int(text))


def version_in(era: StoreEra, revision: int) -> Version:
    """Return the version of an object that has ``revision`` in ``era``.

    Raises
    ------
    ValueError
        If the revision is not from 0 to `MAX_REVISION`.

    Examples
    --------
    >>> version_in(StoreEra(0), 7)
    7
    >>> version_in(StoreEra(1), 2) > version_in(StoreEra(0), 7)
    True
    """
    if not 0 <= revision <= MAX_REVISION:
        raise ValueError(f"revision {revision} is not from 0 to {MAX_REVISION}")
    return Version(era << ERA_SHIFT | revision)


def revision_in(era: StoreEra, revision: int) -> Revision:
    """Return the revision of a listing or watch in ``era``; see `version_in`."""
    return Revision(version_in(era, revision))


def era_of(version: Version | Revision) -> StoreEra:
    """Return the era of a version or revision."""
    return StoreEra(version >> ERA_SHIFT)


def stored_revision(version: Version | Revision) -> int:
    """Return the revision as the store counts it."""
    return version & MAX_REVISION


class NewestEra:
    """The newest era that the store has reported to this node."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._era = FIRST_ERA
        self._earliest: StoreEra | None = None

    @property
    def current(self) -> StoreEra:
        """The newest era so far."""
        return self._era

    @property
    def has_changed(self) -> bool:
        """Whether the store was restored since this node has got its first answer."""
        return self._earliest is not None and self._era > self._earliest

    def observe(self, era: StoreEra) -> bool:
        """Record the era of an answer; return whether it is a later one."""
        with self._lock:
            if self._earliest is None:
                self._earliest = era
            if era <= self._era:
                return False
            self._era = era
            return True

    def of_write(self, version: Version) -> StoreEra:
        """Return the era in which a write that expects ``version`` may take effect."""
        return self._era if version == ABSENT else era_of(version)
