"""Accounts and keys of a soak of entry daemons, drawn from its seed."""

import random
from typing import Any

ACCOUNTS = ("calm", "crowd", "night")
KEYS = tuple(f"key-{n}" for n in range(8))
UNKNOWN_KEY = "key-of-nobody"
"""A key that no configuration ever holds."""
UNKNOWN_SHARE = 0.03
NO_KEY_SHARE = 0.3
"""Share of the requests on public routes that have no key."""
TAKEN_SHARE = 0.1
"""Share of the keys that no account holds."""
PUBLIC_ROUTE = "look"
LIMITED_ACCOUNT = "crowd"
RATES = (1.0, 2.0, 4.0)
"""Requests a second, and at once, that the limited account may send."""


def draw_accounts(seed: int, number: int) -> dict[str, str]:
    """Return the account that holds each key in the ``number``-th configuration."""
    rng = random.Random(f"{seed}/accounts/{number}")
    return {key: rng.choice(ACCOUNTS) for key in KEYS if rng.random() >= TAKEN_SHARE}


def draw_key(rng: random.Random, route: str) -> str:
    """Return the key that a client sends on a route; empty for none."""
    if route == PUBLIC_ROUTE and rng.random() < NO_KEY_SHARE:
        return ""
    return UNKNOWN_KEY if rng.random() < UNKNOWN_SHARE else rng.choice(KEYS)


def draw_rate(seed: int, number: int) -> float:
    """Return the rate of the limited account in the ``number``-th configuration."""
    return random.Random(f"{seed}/quotas/{number}").choice(RATES)


def listed_accounts(
    account_by_key: dict[str, str], rate_per_s: float
) -> list[dict[str, Any]]:
    """Return the accounts as the configuration lists them, also those without keys."""
    rate_by_account = {LIMITED_ACCOUNT: rate_per_s}
    return [
        {
            "name": name,
            "api-keys": [key for key, of in account_by_key.items() if of == name],
            "rate-per-s": rate_by_account.get(name, 0.0),
            "burst": rate_by_account.get(name, 0.0),
        }
        for name in ACCOUNTS
    ]
