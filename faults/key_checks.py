"""Checks of the keys and accounts in the history of a soak of entry daemons."""

from collections.abc import Iterable

from faults.entry_checks import APPLY_S, BUSY_SLACK_S, Attempt, SoakHistory
from faults.soak_keys import PUBLIC_ROUTE

UNAUTHENTICATED_STATUS = 401


def find_key_violations(history: SoakHistory) -> list[str]:
    """Return the violations of the rules of keys, each as one line."""
    return [*_passed_on(history), *_other_account(history), *_denied(history)]


def _passed_on(history: SoakHistory) -> Iterable[str]:
    """Find keys that reached a replica."""
    for replica, line in history.arrivals():
        if line.get("credentials"):
            yield f"UNASKED: {line['id']} reached {replica} with its client's key"


def _other_account(history: SoakHistory) -> Iterable[str]:
    """Find requests under an account that did not hold their key, or under none."""
    attempt_by_id = {item.id: item for item in history.attempts}
    for replica, line in history.arrivals():
        attempt = attempt_by_id.get(line["id"])
        if attempt is None or not history.keys_by_version:
            continue
        named, holders = line.get("account"), _holders(history, attempt)
        if named in holders and (named or attempt.route == PUBLIC_ROUTE):
            continue
        if holders == {None}:
            rule = "UNASKED" if attempt.route == PUBLIC_ROUTE else "ROUTE"
            yield f"{rule}: {attempt.id} of nobody's key ran at {replica} for {named}"
        else:
            yield f"UNASKED: {attempt.id} ran at {replica} for {named}, not {holders}"


def _denied(history: SoakHistory) -> Iterable[str]:
    """Find refused keys that each configuration which may be in force has."""
    for item in history.attempts:
        if item.status == UNAUTHENTICATED_STATUS and (
            item.route == PUBLIC_ROUTE or None not in _holders(history, item)
        ):
            yield f"DENIED: {item.id} got 401 at {item.node}"


def _holders(history: SoakHistory, attempt: Attempt) -> set[str | None]:
    """Return the accounts of a key in the versions that its node may have had.

    A node in touch has none that is older than the newest one confirmed well before the
    request.
    """
    since_s = attempt.sent_s - APPLY_S - BUSY_SLACK_S
    oldest = 0
    if history.is_in_touch(attempt.node, since_s, attempt.sent_s):
        confirmed = history.confirmed_s.items()
        oldest = max(
            (version for version, at_s in confirmed if at_s < since_s), default=0
        )
    return {
        written.account_by_key.get(attempt.key)
        for version, written in history.keys_by_version.items()
        if version >= oldest and written.at_s <= attempt.done_s
    }
