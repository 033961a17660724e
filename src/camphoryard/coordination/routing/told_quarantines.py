"""Quarantines of requests that nodes repeat to each other in their digests.

Reports of crashes are sent once, to the nodes that run at the time. The quarantines
that they lead to are repeated, so that nodes that start later, or have missed a report,
have them too.
"""

import random
from collections.abc import Mapping

from camphoryard.state.ids import Fingerprint

MAX_TOLD_REQUESTS = 16
"""Maximum number of quarantined requests in one digest."""
MIN_ADOPTED_S = 5.0
"""Least time left of a quarantine that is adopted from a peer. Digests arrive late, so
that nodes would prolong a quarantine for each other as it ends."""


def choose_told(
    left_s_by_request: Mapping[Fingerprint, float],
) -> dict[Fingerprint, float]:
    """Return the quarantines in force that the next digest tells.

    If there are more than `MAX_TOLD_REQUESTS`, they are drawn at random, so that all
    are told in the end. Times are in seconds.
    """
    told = [item for item, left_s in left_s_by_request.items() if left_s > 0]
    if len(told) > MAX_TOLD_REQUESTS:
        told = random.sample(told, MAX_TOLD_REQUESTS)
    return {item: left_s_by_request[item] for item in told}


def choose_adopted(
    told_s_by_request: Mapping[Fingerprint, float], max_s: float
) -> dict[Fingerprint, float]:
    """Return the quarantines of a peer that last long enough to be adopted.

    They last for ``max_s`` seconds at most.
    """
    return {
        item: min(max_s, left_s)
        for item, left_s in told_s_by_request.items()
        if left_s >= MIN_ADOPTED_S
    }
