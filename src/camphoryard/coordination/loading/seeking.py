"""Has what a request needs loaded, by whichever node orders the engines."""

import threading
import time
from collections.abc import Callable, Collection
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass

from camphoryard.coordination.forwarding.parts import DecisionLog
from camphoryard.coordination.loading.adapters import item_of
from camphoryard.coordination.loading.orderer import (
    Coming,
    Held,
    NotProvided,
    Orderer,
    Provision,
)
from camphoryard.coordination.messages import (
    Declined,
    ItemComing,
    ItemHeld,
    ItemWanted,
    Reply,
)
from camphoryard.coordination.placement.demand import DemandMeter
from camphoryard.coordination.ports import Peers
from camphoryard.state.directory import Directory
from camphoryard.state.enums import Priority
from camphoryard.state.errors import NotLoadedBeforeDeadlineError, PeerUnreachableError
from camphoryard.state.ids import EndpointId, NodeId, ServiceId
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import RequestedModel

ASK_LIMIT_S = 0.8
"""How long a question to the ordering node waits: it answers after an adapter's
arrival at the latest, unless it has ended."""
NO_HOLDER_ESTIMATE_S = 3.0
"""Until another node orders engines once the one that did is gone."""
STOPPING_RETRY_S = 0.05
"""A request that a stopping node refuses finds another node at once."""
LOOK_PERIOD_S = 0.5
"""How often the ordering node is asked again about a load under way."""


@dataclass(frozen=True, slots=True)
class SeekingParts:
    """What seekers work with; ``holder`` names the node that orders engines."""

    node: NodeId
    directory: Directory
    orderer: Orderer
    peers: Peers
    holder: Callable[[], NodeId | None]
    demand: DemandMeter
    log: DecisionLog
    clock: Callable[[], float] = time.monotonic


class Seeker:
    """See the ModelSeeker port; requests that need the same ask together."""

    def __init__(self, parts: SeekingParts) -> None:
        self._parts = parts
        self._lock = threading.Lock()
        self._is_stopping = False
        self._asked_by_item: dict[RequestedModel, Future[Provision]] = {}

    def stop(self) -> None:
        """Have the requests that wait for a model refused within a moment."""
        self._is_stopping = True

    def arrived(self, wanted: RequestedModel) -> None:
        """Note a request for ``wanted``."""
        self._parts.demand.arrived(item_of(wanted), Priority.STANDARD)

    def finished(self, wanted: RequestedModel, held_s: float) -> None:
        """Note that a request for ``wanted`` held a slot for ``held_s`` seconds."""
        self._parts.demand.held(item_of(wanted), held_s)

    def seek(
        self,
        service: ServiceId,
        wanted: RequestedModel,
        deadline_s: float,
        avoid: Collection[EndpointId] = (),
    ) -> ServingEndpoint:
        """Block until ``wanted`` is held somewhere; see the ModelSeeker port."""
        while True:
            known = self._holder_ids(service, wanted)
            if avoid:
                provision = self._ask(service, wanted, avoid)
            else:
                provision = self._ask_together(service, wanted, deadline_s)
            match provision:
                case Held(found):
                    endpoint = self._parts.directory.find(found)
                    if endpoint is not None:
                        self._parts.directory.record_loaded(found, wanted)
                        return endpoint
                    in_s = LOOK_PERIOD_S
                case Coming(in_s):
                    pass
                case NotProvided():
                    in_s = NO_HOLDER_ESTIMATE_S
            if self._is_stopping:
                # Another node may go on waiting for it.
                raise NotLoadedBeforeDeadlineError(STOPPING_RETRY_S)
            if self._parts.clock() + in_s >= deadline_s:
                raise NotLoadedBeforeDeadlineError(in_s)
            self._await_holder(service, wanted, known, in_s)

    def _ask_together(
        self, service: ServiceId, wanted: RequestedModel, deadline_s: float
    ) -> Provision:
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
                return NotProvided()
        provision: Provision = NotProvided()
        try:
            provision = self._ask(service, wanted)
            return provision
        finally:
            with self._lock:
                del self._asked_by_item[wanted]
            answer.set_result(provision)

    def _ask(
        self,
        service: ServiceId,
        wanted: RequestedModel,
        avoid: Collection[EndpointId] = (),
    ) -> Provision:
        holder = self._parts.holder()
        if holder is None:
            return NotProvided()
        if holder == self._parts.node:
            return self._parts.orderer.provide(service, wanted, avoid)
        try:
            reply = self._parts.peers.ask(
                holder, ItemWanted(service, wanted, tuple(avoid)), ASK_LIMIT_S
            )
        except PeerUnreachableError as error:
            self._parts.log("holder_unreachable", holder=holder, error=str(error))
            return NotProvided()
        match reply:
            case ItemHeld(endpoint):
                return Held(endpoint)
            case ItemComing(in_s):
                return Coming(in_s)
            case _:
                return NotProvided()

    def _await_holder(
        self,
        service: ServiceId,
        wanted: RequestedModel,
        known: frozenset[EndpointId],
        in_s: float,
    ) -> None:
        """Block until one more engine holds ``wanted``, or it is time to ask again.

        The ordering node did not offer those ``known`` before it was asked: they
        may have crashed.
        """
        self._parts.directory.wait_until(
            lambda: not self._holder_ids(service, wanted) <= known,
            self._parts.clock() + min(in_s, LOOK_PERIOD_S),
        )

    def _holder_ids(
        self, service: ServiceId, wanted: RequestedModel
    ) -> frozenset[EndpointId]:
        loaded_endpoints = self._parts.directory.loaded_endpoints(service, wanted)
        return frozenset(item.id for item in loaded_endpoints)


def answer_wanted(orderer: Orderer, message: ItemWanted) -> Reply:
    """Return the reply to a node that seeks an item."""
    match orderer.provide(message.service, message.wanted, message.avoid):
        case Held(endpoint):
            return ItemHeld(endpoint)
        case Coming(in_s):
            return ItemComing(in_s)
        case NotProvided():
            return Declined("this node cannot have it loaded")
