"""Tests of client accounts and their keys."""

import pytest

from camphoryard.state.accounts import (
    MAX_KEY_CHARACTERS,
    MAX_NAME_CHARACTERS,
    Account,
    InvalidAccountError,
    Quota,
    QuotaUnit,
    key_digest,
    make_accounts,
)
from camphoryard.state.ids import AccountId

LONG_KEY = "k" * (MAX_KEY_CHARACTERS + 1)


def accounts(*items):
    """Return accounts from pairs of a name and its keys."""
    return make_accounts((Account(AccountId(name)), keys) for name, keys in items)


class TestAccounts:
    """Finding the account of a key."""

    def test_account_is_found_by_each_of_its_keys(self):
        """Any key of an account names it."""
        made = accounts(("a", ["k1", "k2"]), ("b", ["k3"]))
        found = [made.find(key_digest(key)).id for key in (b"k1", b"k2", b"k3")]
        assert found == ["a", "a", "b"]

    def test_unknown_or_missing_key_belongs_to_no_account(self):
        """An account without keys is found by none."""
        made = accounts(("a", []), ("b", ["k1"]))
        assert made.find(key_digest(b"")) is None
        assert made.find(None) is None
        assert set(made.by_id) == {"a", "b"}

    def test_repr_shows_no_digest(self):
        """A dump of the configuration does not help to guess keys."""
        assert str(key_digest(b"k1")) not in repr(accounts(("a", ["k1"])))


class TestMakeAccounts:
    """Which accounts are valid."""

    @pytest.mark.parametrize(
        ("items", "text"),
        [
            ([("", ["k1"])], "no name"),
            ([("a", ["k1"]), ("a", [])], "two accounts are named 'a'"),
            ([("a\r\nX: y", [])], "no header"),
            ([("é", [])], "no header"),
            ([("n" * (MAX_NAME_CHARACTERS + 1), [])], "more than 256 characters"),
            ([("a", [""])], "a key of account 'a' has 0 characters"),
            ([("a", [LONG_KEY])], "a key of account 'a' has 1025 characters"),
            ([("a", ["k1"]), ("b", ["k1"])], "accounts 'a' and 'b' have the same key"),
        ],
    )
    def test_error_names_the_account_and_no_key(self, items, text):
        """Operators find the entry, readers of the log no key."""
        with pytest.raises(InvalidAccountError, match=text) as caught:
            accounts(*items)
        assert "k1" not in str(caught.value)
        assert LONG_KEY not in str(caught.value)

    def test_key_may_be_listed_twice_by_its_account(self):
        """A repeated key changes nothing."""
        assert accounts(("a", ["k1", "k1"])).find(key_digest(b"k1")).id == "a"


class TestQuota:
    """What a request costs."""

    @pytest.mark.parametrize(
        ("unit", "tokens", "cost"),
        [
            (QuotaUnit.REQUESTS, 1500, 1.0),
            (QuotaUnit.TOKENS, 1500, 1500.0),
            (QuotaUnit.TOKENS, 0, 700.0),
        ],
    )
    def test_cost(self, unit, tokens, cost):
        """Requests without token counts cost what plain ones do."""
        assert Quota(unit, 10.0, 20.0, 700.0).cost(tokens) == cost
