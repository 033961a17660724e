"""Which group a request belongs to and which endpoint takes it."""

import random
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeAlias

from xxhash import xxh3_64_intdigest

from camphoryard.state.configuration import Configuration, Endpoint, ServingGroup
from camphoryard.state.enums import EndpointKind, Priority, Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.ids import CallerId, EndpointId
from camphoryard.state.labels import Labels, selects
from camphoryard.state.requests import Route

LEAVING_LABEL = "leaving"

EndpointLoad: TypeAlias = Callable[[EndpointId], float]


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Take endpoints in turn."""


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """Take the endpoint with the least estimated load."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """Take the less loaded of two drawn at random."""


@dataclass(frozen=True, slots=True)
class PrefixAffinity:
    """Keep prompts with one prefix at one endpoint, bounded by load.

    The endpoint highest in the rendezvous hash of the prefix is taken unless
    its load is above ``bound`` times the mean plus one; the next one follows.
    """

    bound: float = 1.25


RoutingPolicy: TypeAlias = RoundRobin | LeastInFlight | TwoChoices | PrefixAffinity


def route(
    configuration: Configuration,
    caller: CallerId,
    target: Labels,
    kind: EndpointKind,
    asked: Priority | None,
) -> Route:
    """Return the group, class and candidate endpoints of a request.

    A caller may ask for a lower class than its group's, never a higher one.

    Raises
    ------
    RefusalError
        If no group matches or the group selects no endpoint.
    """
    group = find_group(configuration, caller, target)
    candidates = tuple(
        endpoint.id
        for endpoint in configuration.endpoints_by_id.values()
        if endpoint.kind is kind and accepts_new_work(endpoint, group)
    )
    if not candidates:
        raise RefusalError(Reason.NO_ENDPOINT, f"group {group.id} selects no endpoint")
    return Route(group.id, lower_priority(group.priority, asked), candidates)


def find_group(
    configuration: Configuration, caller: CallerId, target: Labels
) -> ServingGroup:
    """Return the first group, by order, that selects caller and target.

    Raises
    ------
    RefusalError
        If none does.
    """
    known = configuration.callers_by_id.get(caller)
    labels = known.labels if known else {}
    groups = sorted(
        configuration.groups_by_id.values(), key=lambda item: (item.order, item.id)
    )
    for group in groups:
        if selects(group.callers, labels) and selects(group.targets, target):
            return group
    raise RefusalError(
        Reason.NO_GROUP, f"no serving group takes this target for caller {caller}"
    )


def accepts_new_work(endpoint: Endpoint, group: ServingGroup) -> bool:
    """Return whether the group selects the endpoint and it is not leaving."""
    if endpoint.labels.get(LEAVING_LABEL) == "true":
        return False
    return selects(group.endpoints, endpoint.labels)


def lower_priority(granted: Priority, asked: Priority | None) -> Priority:
    """Return the less urgent of what is granted and what was asked for."""
    if asked is None:
        return granted
    return max(granted, asked, key=lambda item: item.rank)


@dataclass(slots=True)
class Router:
    """Chooses among candidates by the policy it was given."""

    policy: RoutingPolicy
    load: EndpointLoad
    draw: random.Random = field(default_factory=random.Random)
    _turn: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def choose(
        self, candidates: Sequence[EndpointId], affinity: str = ""
    ) -> EndpointId:
        """Return one of ``candidates``, which must not be empty.

        Requests with the same ``affinity`` profit from the same endpoint.
        """
        match self.policy:
            case RoundRobin():
                with self._lock:
                    self._turn += 1
                    return candidates[self._turn % len(candidates)]
            case LeastInFlight():
                return min(candidates, key=lambda item: (self.load(item), item))
            case TwoChoices():
                drawn = self.draw.sample(candidates, min(2, len(candidates)))
                return min(drawn, key=lambda item: (self.load(item), item))
            case PrefixAffinity(bound):
                return self._nearest(candidates, affinity, bound)

    def _nearest(
        self, candidates: Sequence[EndpointId], affinity: str, bound: float
    ) -> EndpointId:
        load_by_id = {item: self.load(item) for item in candidates}
        limit = bound * sum(load_by_id.values()) / len(candidates) + 1
        light = [item for item in candidates if load_by_id[item] <= limit]
        return max(light, key=lambda item: (_affinity(item, affinity), item))


def _affinity(endpoint: EndpointId, affinity: str) -> int:
    return xxh3_64_intdigest(f"{endpoint}/{affinity}".encode())
