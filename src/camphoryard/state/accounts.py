"""Client accounts, their keys and their quotas."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

from camphoryard.state.ids import AccountId, KeyDigest

KEY_DIGEST_BYTES = 16
MAX_KEY_CHARACTERS = 1024
MAX_NAME_CHARACTERS = 256


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """Limit of an account over all nodes: ``per_s`` units a second, and a burst.

    A request without token counts costs ``plain_tokens`` if tokens are counted.
    """

    unit: QuotaUnit
    per_s: float
    burst: float
    plain_tokens: float = 0.0

    def cost(self, tokens: int) -> float:
        """Return what a request with that sum of token counts costs, in units."""
        match self.unit:
            case QuotaUnit.REQUESTS:
                return 1.0
            case QuotaUnit.TOKENS:
                return float(tokens) or self.plain_tokens


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    ``rank`` orders its requests by urgency in place of the rank of their route, unless
    it is None. Without a ``quota`` its requests are not limited.
    """

    id: AccountId
    rank: int | None = None
    quota: Quota | None = None


class InvalidAccountError(ValueError):
    """An account is invalid; the message names it and shows none of its keys."""


@dataclass(frozen=True, slots=True)
class Accounts:
    """All accounts of a configuration, found by the digests of their keys."""

    by_id: Mapping[AccountId, Account]
    _by_key: Mapping[KeyDigest, Account] = field(repr=False)

    def find(self, key: KeyDigest | None) -> Account | None:
        """Return the account that holds a key, or None."""
        return self._by_key.get(key) if key is not None else None


def make_accounts(keys_by_account: Iterable[tuple[Account, Iterable[str]]]) -> Accounts:
    """Return the accounts with their keys.

    Raises
    ------
    InvalidAccountError
        If a name is missing, used twice or unfit for a header, a key is empty or too
        long, or two accounts have the same key.
    """
    by_id: dict[AccountId, Account] = {}
    by_key: dict[KeyDigest, Account] = {}
    for account, keys in keys_by_account:
        _check_name(account)
        if account.id in by_id:
            raise InvalidAccountError(f"two accounts are named {account.id!r}")
        by_id[account.id] = account
        for key in keys:
            _check_length(account, key)
            holder = by_key.setdefault(key_digest(key.encode()), account)
            if holder is not account:
                raise InvalidAccountError(
                    f"accounts {holder.id!r} and {account.id!r} have the same key"
                )
    return Accounts(by_id, by_key)


def key_digest(key: bytes) -> KeyDigest:
    """Return the digest by which the account of a key in UTF-8 is found."""
    return KeyDigest(blake2b(key, digest_size=KEY_DIGEST_BYTES).digest())


def _check_name(account: Account) -> None:
    if not account.id:
        raise InvalidAccountError("an account has no name")
    if len(account.id) > MAX_NAME_CHARACTERS:
        raise InvalidAccountError(
            f"the name of account {account.id[:MAX_NAME_CHARACTERS]!r}... has more than"
            f" {MAX_NAME_CHARACTERS} characters"
        )
    if not (account.id.isascii() and account.id.isprintable()):
        raise InvalidAccountError(
            f"the name of account {account.id!r} has characters that no header can"
            " carry"
        )


def _check_length(account: Account, key: str) -> None:
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise InvalidAccountError(
            f"a key of account {account.id!r} has {len(key)} characters,"
            f" not 1 to {MAX_KEY_CHARACTERS}"
        )
