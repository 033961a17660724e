"""Tests of the checks of keys: broken rules are found, sound histories pass."""

import pytest

from faults.entry_checks import (
    APPLY_S,
    BUSY_SLACK_S,
    Attempt,
    Disturbance,
    SoakHistory,
    WrittenKeys,
)
from faults.key_checks import find_key_violations

WRITTEN_S, CONFIRMED_S = 20.0, 20.1
"""When the second version, in which key k1 moves from a to b, is written."""
LATE_S = CONFIRMED_S + APPLY_S + BUSY_SLACK_S + 0.1


def rules(account, sent_s=10.0, key="k1", route="book", **fields):
    """Return the rules that a request breaks which ran for an account."""
    status = fields.pop("status", 200)
    arrived = {
        "event": "arrived",
        "id": "q1",
        "account": account,
        "credentials": fields.pop("credentials", False),
    }
    history = SoakHistory(
        [Attempt("q1", "n1", f"/{route}/1", sent_s, sent_s + 0.1, status, key=key)],
        {"r1": [arrived] if status == 200 else []},
        keys_by_version={
            1: WrittenKeys(0.0, {"k1": "a", "k2": "b"}),
            2: WrittenKeys(WRITTEN_S, {"k1": "b"}),
        },
        confirmed_s={1: 0.1, 2: CONFIRMED_S},
        **fields,
    )
    return [found.partition(":")[0] for found in find_key_violations(history)]


class TestAccounts:
    """The account that is named to a replica."""

    def test_account_of_the_key_is_sound(self):
        """Also before and after the key moves."""
        assert rules("a") == rules("b", LATE_S) == []

    def test_either_account_is_sound_while_a_version_spreads(self):
        """A node may have either version until the time to apply is over."""
        assert rules("a", WRITTEN_S) == rules("b", WRITTEN_S) == []

    def test_node_out_of_touch_may_have_the_older_version(self):
        """It hears nothing of the newer one."""
        cut = [Disturbance("n1", CONFIRMED_S, LATE_S)]
        assert rules("a", LATE_S, disturbances=cut) == []

    @pytest.mark.parametrize(
        ("account", "sent_s"), [("b", 10.0), (None, 10.0), ("a", LATE_S)]
    )
    def test_other_account_is_found(self, account, sent_s):
        """As the client sent it, none, or that of an older version."""
        assert rules(account, sent_s) == ["UNASKED"]

    def test_key_that_reaches_a_replica_is_found(self):
        """Whatever account is named."""
        assert rules("a", credentials=True) == ["UNASKED"]

    @pytest.mark.parametrize("account", [None, "a"])
    def test_key_of_nobody_that_ran_is_found(self, account):
        """No version has it."""
        assert rules(account, key="k9") == ["ROUTE"]

    def test_key_that_was_taken_away_is_found(self):
        """The second version no longer has k2."""
        assert rules("b", LATE_S, key="k2") == ["ROUTE"]

    def test_public_route_needs_no_key(self):
        """But an account that does not hold the key is found."""
        assert rules(None, key="", route="look") == []
        assert rules("a", key="", route="look") == ["UNASKED"]


class TestRefusals:
    """Requests that got 401."""

    def test_key_that_every_version_has_is_found(self):
        """Both versions that the node may have had hold k1."""
        assert rules(None, WRITTEN_S, status=401) == ["DENIED"]

    @pytest.mark.parametrize(("key", "sent_s"), [("k9", 10.0), ("k2", WRITTEN_S)])
    def test_key_that_a_version_lacks_may_be_refused(self, key, sent_s):
        """Unknown ones, and one that is being taken away."""
        assert rules(None, sent_s, key=key, status=401) == []
