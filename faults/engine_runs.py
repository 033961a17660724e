"""Runs of requests at engines, from the engines' journals."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import combinations
from typing import Any

from faults.injections import (
    DelayOrders,
    DoubleOrders,
    LoseOrders,
    LoseServiceAnswers,
    LoseStoreAnswers,
    RepeatAnswers,
    SlowStore,
    StoreOutage,
)
from faults.lost_counts import InjectionInterval

MAX_OVERLAP_S = 0.4
"""Time for which an engine may go on with a run that another has taken over."""


@dataclass(frozen=True, slots=True)
class EngineRun:
    """One run of a request at an engine, in seconds since the epoch."""

    request: str
    engine: str
    began_s: float
    ended_s: float


def engine_runs(engine: str, journal: Iterable[Mapping[str, Any]]) -> list[EngineRun]:
    """Return the runs in an engine's journal that have ended."""
    begun_s_by_request: dict[str, list[float]] = defaultdict(list)
    runs = []
    for entry in journal:
        if "request_id" in entry:
            begun_s_by_request[entry["request_id"]].append(entry["at_s"])
        elif begun_s := begun_s_by_request[entry.get("ended", "")]:
            runs.append(
                EngineRun(entry["ended"], engine, begun_s.pop(0), entry["at_s"])
            )
    return runs


def runs_at_once(
    runs: Iterable[EngineRun], intervals: Iterable[InjectionInterval]
) -> Iterator[str]:
    """Yield a line for each request that two engines ran for too long at once.

    A fault of a process or a link may keep an engine from learning that its run has
    been taken over.
    """
    excuses = [item for item in intervals if not _tells_engines(item)]
    runs_by_request = defaultdict(list)
    for run in runs:
        runs_by_request[run.request].append(run)
    for items in runs_by_request.values():
        for one, other in combinations(items, 2):
            began_s = max(one.began_s, other.began_s)
            ended_s = min(one.ended_s, other.ended_s)
            is_excused = any(
                item.started_s <= ended_s and began_s <= item.ended_s
                for item in excuses
            )
            if ended_s - began_s > MAX_OVERLAP_S and not is_excused:
                yield (
                    f"{one.engine} and {other.engine} ran {one.request} at once"
                    f" for {ended_s - began_s:.2f} s"
                )


def _tells_engines(interval: InjectionInterval) -> bool:
    """Return whether engines learn of the end of a call under this fault."""
    match interval.injection:
        case RepeatAnswers() | LoseOrders() | DelayOrders() | DoubleOrders():
            return True
        case StoreOutage() | SlowStore() | LoseStoreAnswers() | LoseServiceAnswers():
            return True
        case _:
            return False
