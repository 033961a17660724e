"""Gossip of node digests between peers.

Each period a node sends digests to some peers, and each peer answers with digests
of its own. ``AllToAll`` sends this node's digest to every live peer.
``BoundedFanOut`` sends it to a few neighbours, together with the digests of other
nodes that this node has forwarded least. The number of connections of a node then
does not depend on the size of the fleet, and the bytes hardly do: beside the
digests, answers have one byte for each node.
"""

import heapq
import random
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import TypeAlias

from xxhash import xxh3_64_intdigest

from camphoryard.coordination.configuration.freshness import (
    NEVER_S,
    ConfigurationFreshness,
)
from camphoryard.coordination.membership.zone_liveness import (
    decode_ages,
    encode_ages,
)
from camphoryard.coordination.messages import (
    DigestWithAge,
    Gossip,
    GossipAnswer,
    ZoneLiveness,
)
from camphoryard.coordination.ports import Peers, Ticks, Timer
from camphoryard.state.ids import Fingerprint, NodeId, Zone
from camphoryard.state.nodes import NodeDigest, NodeLease, NodeTable

GOSSIP_PERIOD_S = 1.0
RETAINED_ROUNDS = 64
"""Rounds whose sending times are stored; answers to older ones confirm nothing."""
PRIORITY_SENDS = 3
"""Additional sends of a digest whose node is new or has changed its state."""
LEASE_FETCH_PERIOD_S = 5.0
"""Minimum time between fetches of the leases of zones that differ."""


@dataclass(frozen=True, slots=True)
class AllToAll:
    """Send this node's digest to every live peer; for small fleets."""


@dataclass(frozen=True, slots=True)
class BoundedFanOut:
    """Send to ``fan_out`` of ``neighbours`` peers, half of them in the own zone.

    A message has ``digests`` digests besides the sender's own. A configuration
    update is sent to ``news_fan_out`` peers at once.
    """

    fan_out: int = 2
    neighbours: int = 8
    digests: int = 12
    news_fan_out: int = 4


GossipPolicy: TypeAlias = AllToAll | BoundedFanOut


@dataclass(frozen=True, slots=True)
class GossipContext:
    """Collaborators of the gossip task."""

    lease: NodeLease
    nodes: NodeTable
    peers: Peers
    freshness: ConfigurationFreshness
    digest: Callable[[], NodeDigest]
    catch_up: Callable[[NodeId], None]
    fetch_leases: Callable[[NodeId, tuple[Zone, ...]], None]
    adopt_quarantines: Callable[[Mapping[Fingerprint, float]], None]


class Gossiper:
    """Sends digests to peers each period and merges the digests received."""

    def __init__(
        self,
        context: GossipContext,
        policy: GossipPolicy,
        period_s: float = GOSSIP_PERIOD_S,
    ) -> None:
        self._context = context
        self._policy = policy
        self._period_s = period_s
        self._lock = threading.Lock()
        self._round = 0
        self._sent_s_by_round: dict[int, float] = {}
        self._sends_by_node: dict[NodeId, int] = {}
        self._leases_fetched_s = NEVER_S
        self._has_update = False
        self._ticks: Ticks | None = None

    def run(self, timer: Timer) -> None:
        """Send a round each period until the timer service closes."""
        self._ticks = timer.every(self._period_s)
        for _ in self._ticks:
            self.send_round()

    def wake(self) -> None:
        """Send a round now, because of a configuration update."""
        self._has_update = True
        if self._ticks is not None:
            self._ticks.wake()

    def send_round(self) -> None:
        """Send one round of gossip to this period's peers."""
        self._context.freshness.confirm_among_nodes()
        targets = self._targets()
        with self._lock:
            self._round += 1
            round_number = self._round
            self._sent_s_by_round[round_number] = time.monotonic()
            self._sent_s_by_round.pop(round_number - RETAINED_ROUNDS, None)
        message = Gossip(round_number, self._digests())
        for node in targets:
            self._context.peers.send(node, message)

    def handle_gossip(self, gossip: Gossip) -> None:
        """Merge a peer's digests and send it an answer."""
        sender = gossip.digests[0].digest
        self._merge(gossip.digests, sender)
        # Ages are read before the own digest, so that none of them belongs to a
        # newer generation than the digest states.
        zone_ages = self._zone_ages()
        answer = GossipAnswer(
            gossip.round,
            self._context.freshness.store_age_s(),
            self._digests(),
            zone_ages,
        )
        self._context.peers.send(sender.node, answer)

    def handle_answer(self, answer: GossipAnswer) -> None:
        """Merge the answer to one of this node's rounds."""
        sender = answer.digests[0].digest
        self._merge(answer.digests, sender)
        with self._lock:
            sent_s = self._sent_s_by_round.get(answer.round)
        if sent_s is not None:
            self._record_confirmations(answer, sent_s)
            self._merge_zone_ages(answer, sent_s)

    def _record_confirmations(self, answer: GossipAnswer, sent_s: float) -> None:
        """Record the answer's confirmations as of the sending of its round.

        The time of receipt would make them look newer than they are.
        """
        freshness = self._context.freshness
        for heard in answer.digests:
            if heard.age_s is not None:
                freshness.record_confirmation(
                    heard.digest.node,
                    sent_s - heard.age_s,
                    heard.digest.generation,
                )
        sender = answer.digests[0].digest
        own = self._context.digest().generation
        if answer.store_age_s is not None and sender.generation <= own:
            freshness.store_confirmed(sent_s - answer.store_age_s)

    def _zone_ages(self) -> tuple[ZoneLiveness, ...]:
        match self._policy:
            case AllToAll():
                return ()
            case BoundedFanOut():
                ages_s = self._context.freshness.ages_s()
                ages_s[self._context.lease.node] = 0.0
                return encode_ages(self._context.nodes.all(), ages_s)

    def _merge_zone_ages(self, answer: GossipAnswer, sent_s: float) -> None:
        """Record when the sender last confirmed each node alive.

        Ages are subtracted from the time at which the round was sent.
        """
        sender = answer.digests[0].digest
        decoded = decode_ages(answer.words, self._context.nodes.all())
        as_of_s_by_node = {
            node: sent_s - age_s
            for node, age_s in decoded.age_s_by_node.items()
            if node != self._context.lease.node
        }
        self._context.freshness.record_confirmations(as_of_s_by_node, sender.generation)
        self._context.nodes.confirm_alive_at(as_of_s_by_node)
        if (
            decoded.differing_zones
            and time.monotonic() - self._leases_fetched_s >= LEASE_FETCH_PERIOD_S
        ):
            self._leases_fetched_s = time.monotonic()
            self._context.fetch_leases(sender.node, decoded.differing_zones)

    def _merge(self, digests: Sequence[DigestWithAge], sender: NodeDigest) -> None:
        nodes = self._context.nodes
        has_unknown = False
        for heard in digests:
            digest = heard.digest
            if digest.node == self._context.lease.node:
                continue
            previous = nodes.digest(digest.node)
            if nodes.observe_digest(digest):
                is_changed = previous is None or previous.state is not digest.state
                with self._lock:
                    self._sends_by_node[digest.node] = (
                        -PRIORITY_SENDS if is_changed else 0
                    )
            elif not nodes.has_lease(digest.node, digest.incarnation):
                has_unknown = True
        if has_unknown:
            self._context.fetch_leases(sender.node, ())
        if sender.generation > self._context.digest().generation:
            self._context.catch_up(sender.node)
        if sender.quarantine_s_by_request:
            self._context.adopt_quarantines(sender.quarantine_s_by_request)

    def _digests(self) -> tuple[DigestWithAge, ...]:
        own = DigestWithAge(self._context.digest(), 0.0)
        match self._policy:
            case AllToAll():
                return (own,)
            case BoundedFanOut(digests=count):
                return (own, *self._least_sent(count))

    def _least_sent(self, count: int) -> list[DigestWithAge]:
        """Return the digests forwarded least often since they were received."""
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
            digest = self._context.nodes.digest(node)
            if digest is not None:
                age_s = self._context.freshness.node_age_s(node)
                # The times left of quarantines are those of the sending.
                forwarded = replace(
                    digest,
                    in_flight_by_endpoint={},
                    report_by_endpoint={},
                    quarantine_s_by_request={},
                )
                chosen.append(DigestWithAge(forwarded, age_s))
        return chosen

    def _targets(self) -> Sequence[NodeId]:
        has_update, self._has_update = self._has_update, False
        own = self._context.lease
        alive = [
            lease for lease in self._context.nodes.alive() if lease.node != own.node
        ]
        match self._policy:
            case AllToAll():
                return [lease.node for lease in alive]
            case BoundedFanOut(fan_out, neighbours, news_fan_out=news_fan_out):
                candidates = choose_neighbours(own, alive, neighbours)
                count = max(fan_out, news_fan_out) if has_update else fan_out
                return random.sample(candidates, min(count, len(candidates)))


def choose_neighbours(
    own: NodeLease, others: Sequence[NodeLease], count: int
) -> list[NodeId]:
    """Return ``count`` peers by rendezvous hash, half of them in the own zone.

    The choice is stable while those peers are alive, so connections are reused.
    Nodes of a zone that is partitioned from the others still reach each other.
    """
    ranked = sorted(
        (lease for lease in others if lease.node != own.node),
        key=lambda lease: xxh3_64_intdigest(f"{own.node}/{lease.node}".encode()),
    )
    same_zone = [lease.node for lease in ranked if lease.zone == own.zone]
    other_zones = [lease.node for lease in ranked if lease.zone != own.zone]
    chosen_others = other_zones[: max(count - count // 2, count - len(same_zone))]
    return [*chosen_others, *same_zone[: count - len(chosen_others)]]
