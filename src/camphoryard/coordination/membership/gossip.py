"""Spreading what nodes say about themselves.

Each period a node tells some peers the digests that it has passed on least,
and each answers in the same way. ``AllToAll`` tells every live peer about this
node alone; ``BoundedFanOut`` tells a few neighbours about others too, so that
connections of a node do not grow with the fleet and bytes hardly do: its
answers have one byte for each node beside the digests.
"""

import heapq
import random
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import TypeAlias

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.configuration.currency import NEVER_S, Currency
from camphoryard.coordination.membership.zone_liveness import (
    make_words,
    read_words,
)
from camphoryard.coordination.messages import (
    Gossip,
    GossipAnswer,
    HeardDigest,
    ZoneWords,
)
from camphoryard.coordination.ports import Peers, Ticks, Timer
from camphoryard.state.ids import NodeId, Zone
from camphoryard.state.nodes import NodeDigest, NodeLease, NodeTable

GOSSIP_PERIOD_S = 1.0
KEPT_ROUNDS = 64
HASTY_SENDS = 3
LEARN_PERIOD_S = 5.0


@dataclass(frozen=True, slots=True)
class AllToAll:
    """Tell every live peer; for small fleets."""


@dataclass(frozen=True, slots=True)
class BoundedFanOut:
    """Tell ``fan_out`` of ``neighbours`` peers, half of them in the own zone.

    A message carries ``digests`` digests besides the sender's own. News of a
    configuration goes to ``news_fan_out`` peers at once.
    """

    fan_out: int = 2
    neighbours: int = 8
    digests: int = 12
    news_fan_out: int = 4


GossipPolicy: TypeAlias = AllToAll | BoundedFanOut


@dataclass(frozen=True, slots=True)
class GossipContext:
    """What the gossiping task works with."""

    lease: NodeLease
    nodes: NodeTable
    peers: Peers
    currency: Currency
    digest: Callable[[], NodeDigest]
    catch_up: Callable[[NodeId], None]
    fetch_leases: Callable[[NodeId, tuple[Zone, ...]], None]


class Gossiper:
    """Tells peers each period, and takes in what they tell."""

    def __init__(
        self,
        parts: GossipContext,
        policy: GossipPolicy,
        period_s: float = GOSSIP_PERIOD_S,
    ) -> None:
        self._parts = parts
        self._policy = policy
        self._period_s = period_s
        self._lock = threading.Lock()
        self._round = 0
        self._asked_s_by_round: dict[int, float] = {}
        self._sends_by_node: dict[NodeId, int] = {}
        self._learned_s = NEVER_S
        self._has_news = False
        self._ticks: Ticks | None = None

    def run(self, timer: Timer) -> None:
        """Tell peers until the timer service closes."""
        self._ticks = timer.every(self._period_s)
        for _ in self._ticks:
            self.tell()

    def wake(self) -> None:
        """Tell peers now, since there is news."""
        self._has_news = True
        if self._ticks is not None:
            self._ticks.wake()

    def tell(self) -> None:
        """Tell this period's peers once."""
        self._parts.currency.confirm_among_nodes()
        targets = self._targets()
        with self._lock:
            self._round += 1
            number = self._round
            self._asked_s_by_round[number] = time.monotonic()
            self._asked_s_by_round.pop(number - KEPT_ROUNDS, None)
        message = Gossip(number, self._digests())
        for node in targets:
            self._parts.peers.tell(node, message)

    def handle_gossip(self, gossip: Gossip) -> None:
        """Take in a peer's digests and answer it."""
        sender = gossip.digests[0].digest
        self._merge(gossip.digests, sender)
        # The words before the own digest: none may be of a newer generation.
        words = self._words()
        answer = GossipAnswer(
            gossip.round, self._parts.currency.store_age_s(), self._digests(), words
        )
        self._parts.peers.tell(sender.node, answer)

    def handle_answer(self, answer: GossipAnswer) -> None:
        """Take in the answer to one of this node's rounds."""
        sender = answer.digests[0].digest
        self._merge(answer.digests, sender)
        with self._lock:
            asked_s = self._asked_s_by_round.get(answer.round)
        if asked_s is not None:
            self._confirm(answer, asked_s)
            self._take_words(answer, asked_s)

    def _confirm(self, answer: GossipAnswer, asked_s: float) -> None:
        """Date what the answer says from before its question was sent."""
        currency = self._parts.currency
        for heard in answer.digests:
            if heard.age_s is not None:
                currency.heard(
                    heard.digest.node,
                    asked_s - heard.age_s,
                    heard.digest.generation,
                )
        sender = answer.digests[0].digest
        own = self._parts.digest().generation
        if answer.store_age_s is not None and sender.generation <= own:
            currency.store_confirmed(asked_s - answer.store_age_s)

    def _words(self) -> tuple[ZoneWords, ...]:
        match self._policy:
            case AllToAll():
                return ()
            case BoundedFanOut():
                ages_s = self._parts.currency.ages_s()
                ages_s[self._parts.lease.node] = 0.0
                return make_words(self._parts.nodes.all(), ages_s)

    def _take_words(self, answer: GossipAnswer, asked_s: float) -> None:
        """Take in whom the sender heard, dated from before its question."""
        sender = answer.digests[0].digest
        read = read_words(answer.words, self._parts.nodes.all())
        as_of_s_by_node = {
            node: asked_s - age_s
            for node, age_s in read.age_s_by_node.items()
            if node != self._parts.lease.node
        }
        self._parts.currency.heard_all(as_of_s_by_node, sender.generation)
        self._parts.nodes.confirm_alive_at(as_of_s_by_node)
        if read.differing and time.monotonic() - self._learned_s >= LEARN_PERIOD_S:
            self._learned_s = time.monotonic()
            self._parts.fetch_leases(sender.node, read.differing)

    def _merge(self, digests: Sequence[HeardDigest], sender: NodeDigest) -> None:
        nodes = self._parts.nodes
        unknown = False
        for heard in digests:
            digest = heard.digest
            if digest.node == self._parts.lease.node:
                continue
            before = nodes.digest(digest.node)
            if nodes.heard(digest):
                changed = before is None or before.state is not digest.state
                with self._lock:
                    self._sends_by_node[digest.node] = -HASTY_SENDS if changed else 0
            elif not nodes.has_lease(digest.node, digest.incarnation):
                unknown = True
        if unknown:
            self._parts.fetch_leases(sender.node, ())
        if sender.generation > self._parts.digest().generation:
            self._parts.catch_up(sender.node)

    def _digests(self) -> tuple[HeardDigest, ...]:
        own = HeardDigest(self._parts.digest(), 0.0)
        match self._policy:
            case AllToAll():
                return (own,)
            case BoundedFanOut(digests=count):
                return (own, *self._least_sent(count))

    def _least_sent(self, count: int) -> list[HeardDigest]:
        """Return the digests passed on least since they were news."""
        with self._lock:
            nodes = heapq.nsmallest(
                count,
                self._sends_by_node,
                key=lambda node: (self._sends_by_node[node], random.random()),
            )
            for node in nodes:
                self._sends_by_node[node] += 1
        chosen = []
        for node in nodes:
            digest = self._parts.nodes.digest(node)
            if digest is not None:
                age_s = self._parts.currency.node_age_s(node)
                short = replace(digest, in_flight_by_endpoint={}, report_by_endpoint={})
                chosen.append(HeardDigest(short, age_s))
        return chosen

    def _targets(self) -> Sequence[NodeId]:
        has_news, self._has_news = self._has_news, False
        own = self._parts.lease
        alive = [lease for lease in self._parts.nodes.alive() if lease.node != own.node]
        match self._policy:
            case AllToAll():
                return [lease.node for lease in alive]
            case BoundedFanOut(fan_out, neighbours, news_fan_out=news_fan_out):
                near = choose_neighbours(own, alive, neighbours)
                count = max(fan_out, news_fan_out) if has_news else fan_out
                return random.sample(near, min(count, len(near)))


def choose_neighbours(
    own: NodeLease, others: Sequence[NodeLease], count: int
) -> list[NodeId]:
    """Return ``count`` peers by rendezvous hash, half of them in the own zone.

    The choice stays as long as those peers do, so connections are kept, and a
    zone that is cut off still hears itself.
    """
    ranked = sorted(
        (lease for lease in others if lease.node != own.node),
        key=lambda lease: xxh3_64_intdigest(f"{own.node}/{lease.node}".encode()),
    )
    inside = [lease.node for lease in ranked if lease.zone == own.zone]
    outside = [lease.node for lease in ranked if lease.zone != own.zone]
    chosen_outside = outside[: max(count - count // 2, count - len(inside))]
    return [*chosen_outside, *inside[: count - len(chosen_outside)]]
