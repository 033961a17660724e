"""Choice of the serving group and the endpoint for a request."""

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
"""Operators set this label to ``true`` to mark an endpoint as leaving."""

EndpointLoad: TypeAlias = Callable[[EndpointId], float]


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Choose endpoints in turn."""


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """Choose the endpoint with the least estimated load."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """Choose the less loaded of two endpoints sampled at random."""


@dataclass(frozen=True, slots=True)
class PrefixAffinity:
    """Send prompts with the same prefix to the same endpoint, bounded by load.

    The endpoint that ranks first in the rendezvous hash of the prefix is chosen.
    Endpoints whose load exceeds ``bound`` times the mean plus one are skipped.
    """

    bound: float = 1.25


RoutingPolicy: TypeAlias = RoundRobin | LeastInFlight | TwoChoices | PrefixAffinity


def route(
    configuration: Configuration,
    caller: CallerId,
    target: Labels,
    kind: EndpointKind,
    requested: Priority | None,
) -> Route:
    """Return the group, priority class and candidate endpoints of a request.

    A caller may request a lower priority class than its group's, never a higher one.

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
    return Route(group.id, lower_priority(group.priority, requested), candidates)


def find_group(
    configuration: Configuration, caller: CallerId, target: Labels
) -> ServingGroup:
    """Return the first group, by order, that selects both caller and target.

    Raises
    ------
    RefusalError
        If no group matches.
    """
    account = configuration.callers_by_id.get(caller)
    labels = account.labels if account else {}
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


def lower_priority(granted: Priority, requested: Priority | None) -> Priority:
    """Return the lower of the granted and the requested priority class."""
    if requested is None:
        return granted
    return max(granted, requested, key=lambda item: item.rank)


@dataclass(slots=True)
class Router:
    """Chooses among candidate endpoints by a routing policy."""

    policy: RoutingPolicy
    load: EndpointLoad
    random_source: random.Random = field(default_factory=random.Random)
    _last_index: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def choose(
        self, candidates: Sequence[EndpointId], affinity: str = ""
    ) -> EndpointId:
        """Return one of ``candidates``, which must not be empty.

        Requests with the same ``affinity`` share a prompt prefix, so one endpoint
        can reuse its prefix cache for them.
        """
        match self.policy:
            case RoundRobin():
                with self._lock:
                    self._last_index += 1
                    return candidates[self._last_index % len(candidates)]
            case LeastInFlight():
                return min(candidates, key=lambda item: (self.load(item), item))
            case TwoChoices():
                sampled = self.random_source.sample(candidates, min(2, len(candidates)))
                return min(sampled, key=lambda item: (self.load(item), item))
            case PrefixAffinity(bound):
                return self._choose_by_affinity(candidates, affinity, bound)

    def _choose_by_affinity(
        self, candidates: Sequence[EndpointId], affinity: str, bound: float
    ) -> EndpointId:
        load_by_id = {item: self.load(item) for item in candidates}
        limit = bound * sum(load_by_id.values()) / len(candidates) + 1
        eligible = [item for item in candidates if load_by_id[item] <= limit]
        return max(eligible, key=lambda item: (_affinity_rank(item, affinity), item))


def _affinity_rank(endpoint: EndpointId, affinity: str) -> int:
    return xxh3_64_intdigest(f"{endpoint}/{affinity}".encode())
