"""Has what a request needs loaded, by whichever node orders the engines."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass

from camphoryard.coordination.demand import DemandMeter
from camphoryard.coordination.loading.orderer import Orderer
from camphoryard.coordination.messages import (
    Declined,
    ItemHeld,
    ItemWanted,
    Reply,
)
from camphoryard.coordination.ports import Peers
from camphoryard.state.directory import Directory
from camphoryard.state.enums import Priority
from camphoryard.state.errors import PeerUnreachableError
from camphoryard.state.ids import EndpointId, ItemId, NodeId, ServiceId
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import WantedModel

ASK_LIMIT_S = 2.0
"""How long one question to the ordering node waits before it is asked again, since
that node may have ended."""
NO_HOLDER_PAUSE_S = 0.25
"""Between two looks for a node that orders engines."""


def item_of(wanted: WantedModel) -> ItemId:
    """Return the item, as demand counts it, that a request runs on."""
    if wanted.adapter is None:
        return ItemId(wanted.model)
    return ItemId(f"{wanted.model}:{wanted.adapter}")


@dataclass(frozen=True, slots=True)
class SeekingParts:
    """What seekers work with; ``holder`` names the node that orders engines."""

    node: NodeId
    directory: Directory
    orderer: Orderer
    peers: Peers
    holder: Callable[[], NodeId | None]
    demand: DemandMeter
    clock: Callable[[], float] = time.monotonic


class Seeker:
    """See the ModelSeeker port; requests that need the same ask together."""

    def __init__(self, parts: SeekingParts) -> None:
        self._parts = parts
        self._lock = threading.Lock()
        self._asked_by_item: dict[WantedModel, Future[EndpointId | None]] = {}

    def arrived(self, wanted: WantedModel) -> None:
        """Note a request for ``wanted``."""
        self._parts.demand.arrived(item_of(wanted), Priority.STANDARD)

    def finished(self, wanted: WantedModel, held_s: float) -> None:
        """Note that a request for ``wanted`` held a slot for ``held_s`` seconds."""
        self._parts.demand.held(item_of(wanted), held_s)

    def seek(
        self, service: ServiceId, wanted: WantedModel, deadline_s: float
    ) -> ServingEndpoint | None:
        """Block until ``wanted`` is held somewhere; None if that will not be."""
        while self._parts.clock() < deadline_s:
            found = self._ask_together(service, wanted, deadline_s)
            if found is not None:
                endpoint = self._parts.directory.find(found)
                if endpoint is not None:
                    self._parts.directory.learned(found, wanted)
                    return endpoint
            self._pause(deadline_s)
        return None

    def _ask_together(
        self, service: ServiceId, wanted: WantedModel, deadline_s: float
    ) -> EndpointId | None:
        """Ask for ``wanted``, or wait for the answer to an equal question."""
        with self._lock:
            answer = self._asked_by_item.get(wanted)
            is_first = answer is None
            if answer is None:
                answer = self._asked_by_item[wanted] = Future()
        if not is_first:
            try:
                return answer.result(max(0.0, deadline_s - self._parts.clock()))
            except FutureTimeoutError:
                return None
        found: EndpointId | None = None
        try:
            found = self._ask(service, wanted, deadline_s)
            return found
        finally:
            with self._lock:
                del self._asked_by_item[wanted]
            answer.set_result(found)

    def _ask(
        self, service: ServiceId, wanted: WantedModel, deadline_s: float
    ) -> EndpointId | None:
        within_s = min(ASK_LIMIT_S, deadline_s - self._parts.clock())
        if within_s <= 0:
            return None
        holder = self._parts.holder()
        if holder == self._parts.node:
            until_s = self._parts.clock() + within_s
            return self._parts.orderer.provide(service, wanted, until_s)
        if holder is None:
            return None
        try:
            reply = self._parts.peers.ask(
                holder, ItemWanted(service, wanted, within_s), within_s
            )
        except PeerUnreachableError:
            return None
        match reply:
            case ItemHeld(endpoint):
                return endpoint
            case _:
                return None

    def _pause(self, deadline_s: float) -> None:
        """Block for a moment, or until the directory changes."""
        until_s = min(deadline_s, self._parts.clock() + NO_HOLDER_PAUSE_S)
        self._parts.directory.wait_until(lambda: False, until_s)


def answer_wanted(orderer: Orderer, message: ItemWanted, now_s: float) -> Reply:
    """Return the reply to a node that seeks an item."""
    if not orderer.has_duty:
        return Declined("this node does not order engines")
    until_s = now_s + message.within_s
    found = orderer.provide(message.service, message.wanted, until_s)
    if found is None:
        return Declined("it is not held in time")
    return ItemHeld(found)
