"""Choice of the engine that a request goes to, among those with room for it."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from camphoryard.coordination.dispatch.engine_ledger import Outlook
from camphoryard.coordination.dispatch.order import Waiting


@dataclass(frozen=True, slots=True)
class RoomPolicy:
    """What an engine must have room for, and what a place there costs.

    A prompt may delay running streams by ``pause_share`` of the longest gap that is not
    late, and by ``hurry_share`` of it if the request would be late, or its client
    leave, within ``hurry_s``. Beyond that it costs more answers than it saves: each
    stream that runs there is late. A request must begin within ``leave_share`` of the
    time until its client leaves. None is refused while an endpoint has less than
    ``room_load`` of it in use. An endpoint in another zone costs ``remote_cost_s``, a
    full one ``load_cost_s``.
    """

    pause_share: float = 0.65
    hurry_share: float = 0.8
    hurry_s: float = 0.1
    leave_share: float = 0.85
    room_load: float = 0.5
    remote_cost_s: float = 0.01
    load_cost_s: float = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that could run a request, and what the request would meet there.

    ``is_near`` if it is in the request's zone. ``line_s`` is the time until it has read
    the next prompt sent to it, 0 if it has read all of them.
    """

    outlook: Outlook
    is_near: bool
    line_s: float = 0.0


def choose_room(
    waiting: Waiting, candidates: Sequence[Candidate], now_s: float, policy: RoomPolicy
) -> Candidate | None:
    """Return the endpoint that the request goes to now, or None if it waits on.

    A prompt that is too long to fit into a gap goes where nothing else is read.
    """
    places = [
        item for item in candidates if item.outlook.has_place or item.outlook.load <= 0
    ]
    if not places:
        return None
    max_pause_s = _max_pause_s(waiting, places, now_s, policy)
    fitting = [item for item in places if _fits(item, max_pause_s)]
    if not fitting and waiting.request.has_begun:
        fitting = [_least_disturbed(places)]
    if not fitting and now_s - waiting.since_s >= waiting.request.longest_gap_s:
        fitting = [item for item in places if not item.line_s]
    return min(fitting, key=lambda item: _cost_s(item, policy), default=None)


def min_first_event_s(candidates: Sequence[Candidate]) -> float:
    """Return the shortest expected time to the first event, 0 without a candidate."""
    return min((item.outlook.first_event_s for item in candidates), default=0.0)


def _fits(candidate: Candidate, max_pause_s: float) -> bool:
    outlook = candidate.outlook
    return outlook.load <= 0 or outlook.pause_s <= max_pause_s


def _least_disturbed(candidates: Sequence[Candidate]) -> Candidate:
    return min(candidates, key=lambda item: item.outlook.pause_s)


def _max_pause_s(
    waiting: Waiting, places: Sequence[Candidate], now_s: float, policy: RoomPolicy
) -> float:
    """Return the longest pause that the request may cause to running streams."""
    gap_s = waiting.request.longest_gap_s
    if not gap_s:
        return math.inf
    is_in_hurry = _is_in_hurry(waiting, min_first_event_s(places), now_s, policy)
    return gap_s * (policy.hurry_share if is_in_hurry else policy.pause_share)


def _is_in_hurry(
    waiting: Waiting, first_event_s: float, now_s: float, policy: RoomPolicy
) -> bool:
    """Return whether the request is about to be late, or its client to leave."""
    spare_s = waiting.due_s - now_s - first_event_s
    left_s = (waiting.leaves_s - now_s) * policy.leave_share
    return 0 <= spare_s <= policy.hurry_s or left_s <= first_event_s + policy.hurry_s


def _cost_s(candidate: Candidate, policy: RoomPolicy) -> float:
    """Return what the request costs itself and the running streams, in seconds."""
    outlook = candidate.outlook
    remote_s = 0.0 if candidate.is_near else policy.remote_cost_s
    disturbance_s = (outlook.pause_s + policy.load_cost_s) * outlook.load
    return outlook.first_event_s + disturbance_s + remote_s
