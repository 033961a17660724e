"""Refusals that only their own node could hold when it was killed.

A node hands its counts to peers before it answers, and writes them to the object API
within a moment. One that reaches neither, and is killed before it does again, takes its
last counts with it: VMs keep nothing.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from faults.injections import (
    CutFromPeers,
    CutFromStore,
    CutOff,
    CutTowardsPeers,
    Injection,
    KillAllNodes,
    KillNode,
    StoreOutage,
)

FOLD_S = 2.0
"""Within this time of reaching the object API a node's counts are there: they are
written each second."""


@dataclass(frozen=True, slots=True)
class SeenRefusal:
    """A refusal that a caller was answered at ``at_s``, by the time of day."""

    node: str
    at_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class Spell:
    """An injection and when it was in force, by the time of day."""

    injection: Injection
    from_s: float
    to_s: float


def unheld_by_reason(
    refusals: Iterable[SeenRefusal], spells: Sequence[Spell]
) -> Counter[str]:
    """Return how many refusals may be missing from the counts, by reason."""
    return Counter(
        refusal.reason
        for refusal in refusals
        if any(_is_lost(refusal, spell, spells) for spell in spells)
    )


def _is_lost(refusal: SeenRefusal, kill: Spell, spells: Sequence[Spell]) -> bool:
    """Return whether a kill took a refusal that nobody else could hold."""
    match kill.injection:
        case KillNode(node, _) if node == refusal.node:
            alone = [spell for spell in spells if _takes_peers(spell, node)]
        case KillAllNodes():
            # Its peers end with it, at the same moment.
            alone = [Spell(kill.injection, refusal.at_s, kill.from_s)]
        case _:
            return False
    if not refusal.at_s <= kill.from_s:
        return False
    storeless = [spell for spell in spells if _takes_store(spell, refusal.node)]
    return (
        _reached_s(refusal.at_s, kill.from_s, alone) == 0.0
        and _reached_s(refusal.at_s, kill.from_s, storeless) < FOLD_S
    )


def _takes_peers(spell: Spell, node: str) -> bool:
    match spell.injection:
        case CutOff(cut, _, _) | CutFromPeers(cut, _, _) | CutTowardsPeers(cut, _, _):
            return cut == node
        case _:
            return False


def _takes_store(spell: Spell, node: str) -> bool:
    match spell.injection:
        case CutOff(cut, _, _) | CutFromStore(cut, _, _):
            return cut == node
        case StoreOutage():
            return True
        case _:
            return False


def _reached_s(from_s: float, to_s: float, spells: Iterable[Spell]) -> float:
    """Return for how long of a time none of ``spells`` was in force."""
    reached_s = 0.0
    at_s = from_s
    for spell in sorted(spells, key=lambda item: item.from_s):
        reached_s += max(0.0, min(spell.from_s, to_s) - at_s)
        at_s = max(at_s, min(spell.to_s, to_s))
    return reached_s + max(0.0, to_s - at_s)
