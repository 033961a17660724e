"""Loads and unloads that are wished for at one endpoint."""

import math
import threading
import time
from concurrent.futures import Future
from dataclasses import dataclass, field, replace
from typing import TypeAlias

from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import ItemId

START_WISH_S = 1.5


class NoRoomError(CamphoryardError):
    """The item fits nowhere at this endpoint, not even after unloading."""


class LoadFailedError(CamphoryardError):
    """The engine refused the load, or took it and did not finish it."""


class EngineSilentError(CamphoryardError):
    """The engine gives no answer."""


class WishExpiredError(CamphoryardError):
    """The wish was not met by its deadline."""


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """Have ``item`` resident; ``deadline_s`` is on the monotonic clock.

    What leaves for it may serve ``limit_slots`` of demand at most.
    """

    item: ItemId
    deadline_s: float
    limit_slots: float = math.inf
    met: "Future[None]" = field(default_factory=Future, compare=False)


@dataclass(frozen=True, slots=True)
class UnloadRequest:
    """Have ``item`` gone; ``deadline_s`` is on the monotonic clock."""

    item: ItemId
    deadline_s: float
    met: "Future[None]" = field(default_factory=Future, compare=False)


ResidencyRequest: TypeAlias = LoadRequest | UnloadRequest


@dataclass(frozen=True, slots=True)
class CompletedRequest:
    """A wish that came true, or will not because of ``error``."""

    wish: ResidencyRequest
    error: CamphoryardError | None = None


class Wishes:
    """Open wishes by item, oldest first; a wish joins an equal one that is open."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_item: dict[ItemId, ResidencyRequest] = {}

    def add(self, wish: ResidencyRequest) -> "Future[None]":
        """Add a wish; an opposite one for the item is dropped."""
        with self._lock:
            known = self._by_item.get(wish.item)
            if known is not None and type(known) is type(wish):
                self._by_item[wish.item] = _joined(known, wish)
                return known.met
            self._by_item[wish.item] = wish
        if known is not None:
            known.met.set_exception(WishExpiredError("another wish came"))
        return wish.met

    def open(self) -> tuple[ResidencyRequest, ...]:
        """Return the open wishes; those past their deadline fail first."""
        now_s = time.monotonic()
        with self._lock:
            wishes = tuple(self._by_item.values())
        for wish in wishes:
            if wish.deadline_s <= now_s:
                self.fail(wish, WishExpiredError(f"{wish.item}: not in time"))
        return tuple(wish for wish in wishes if wish.deadline_s > now_s)

    def close(self, closed: CompletedRequest) -> None:
        """Tell those who wait what became of a wish."""
        if closed.error is not None:
            self.fail(closed.wish, closed.error)
        elif self._remove(closed.wish):
            closed.wish.met.set_result(None)

    def fail(self, wish: ResidencyRequest, error: CamphoryardError) -> None:
        """Close a wish that will not come true."""
        if self._remove(wish):
            wish.met.set_exception(error)

    def fail_all(self, error: CamphoryardError) -> None:
        """Close every wish."""
        for wish in self.open():
            self.fail(wish, error)

    def _remove(self, wish: ResidencyRequest) -> bool:
        """Take a wish out; one that was renewed meanwhile is the same wish."""
        with self._lock:
            known = self._by_item.get(wish.item)
            if known is None or known.met is not wish.met:
                return False
            del self._by_item[wish.item]
            return True


def _joined(known: ResidencyRequest, other: ResidencyRequest) -> ResidencyRequest:
    """Return an open wish as it is after an equal one came."""
    deadline_s = max(known.deadline_s, other.deadline_s)
    match known, other:
        case LoadRequest(), LoadRequest():
            limit_slots = max(known.limit_slots, other.limit_slots)
            return replace(known, deadline_s=deadline_s, limit_slots=limit_slots)
        case _:
            return replace(known, deadline_s=deadline_s)
