"""Find the client account of a request by its API key."""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from cassiarail.security.keys import KeyRing


class AccountQuota(NamedTuple):
    """Limit what a client account may use, over all hosts together.

    The account may use ``rate_per_s`` units a second plus ``burst`` units at
    once. If ``counts_tokens`` is set, a unit is a token of the prompt or of
    the output, and a request that states no tokens counts as ``plain_cost``.
    Otherwise a unit is a request.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool
    plain_cost: float

    def compute_cost(self, prompt_tokens: int, output_tokens: int) -> float:
        """Return the units that a request counts as."""
        if not self.counts_tokens:
            return 1
        return prompt_tokens + output_tokens or self.plain_cost


class ClientAccount(NamedTuple):
    """Describe a client account.

    ``rank`` replaces the rank of the route unless it is ``None``. Without a
    ``quota``, the account's use is not limited.
    """

    name: str
    rank: int | None
    quota: AccountQuota | None


class AccountKeys(NamedTuple):
    """Hold the digests of an account's keys.

    ``unused_burst`` is a burst that was configured without a rate.
    """

    account: ClientAccount
    digests: Sequence[str]
    unused_burst: float = 0


class AccountDirectory:
    """Hold the client accounts of one configuration.

    Without accounts, requests need no key. ``entries`` holds the accounts with
    the digests of their keys, in the order of the configuration.
    """

    def __init__(self, entries: Sequence[AccountKeys] = ()) -> None:
        self.entries = tuple(entries)
        self._accounts = {each.account.name: each.account for each in entries}
        self._key_ring = KeyRing(
            (digest, each.account)
            for each in entries
            for digest in each.digests
        )

    def __len__(self) -> int:
        return len(self._accounts)

    def __iter__(self) -> Iterator[ClientAccount]:
        return iter(self._accounts.values())

    def get(self, name: str) -> ClientAccount | None:
        """Return the account of a name, or ``None``."""
        return self._accounts.get(name)

    def find_by_key(self, key: str | None) -> ClientAccount | None:
        """Return the account that holds a key, or ``None``."""
        if key is None:
            return None
        return self._key_ring.find_owner(key)
