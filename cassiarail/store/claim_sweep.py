"""Delete the claims that no resend can meet any more."""

import contextlib
import datetime as dt
from collections.abc import Iterable

from cassiarail.core.exceptions import VersionConflictError
from cassiarail.store.backends.base import ObjectStore
from cassiarail.store.claims import CLAIM_KIND, RETENTION

# A claim outlives the last moment at which its key is accepted, so that
# clocks of gateways may differ by as much.
KEPT_AFTER_RETENTION = dt.timedelta(hours=1)
# The first group of a key is the upper 32 of the 48 bits of its time.
_BUCKET_MS = 65_536
_MS_PER_S = 1000


class ClaimSweeper:
    """Delete expired claims one bucket of about a minute at a time.

    Claims are named by caller and key, and keys begin with their time, so a
    bucket is listed by a prefix and not by reading all claims. One process
    of the deployment should sweep, such as the holder of a lease; two of them
    only waste calls.
    """

    def __init__(self, store: ObjectStore, backlog: dt.timedelta) -> None:
        """Begin ``backlog`` before the newest expired bucket.

        A sweeper keeps no state, so the backlog has to cover the time that
        its predecessor may have been away.
        """
        self._store = store
        self._backlog = backlog
        self._next_bucket: int | None = None

    async def sweep(self, callers: Iterable[str], now: dt.datetime) -> int:
        """Delete all claims that have expired since the last call.

        Returns the number of deleted claims. Raises ``StoreError``; the next
        call begins with the bucket that failed.
        """
        names = tuple(callers)
        newest = _find_bucket(now - RETENTION - KEPT_AFTER_RETENTION)
        if self._next_bucket is None:
            oldest = now - RETENTION - KEPT_AFTER_RETENTION - self._backlog
            self._next_bucket = _find_bucket(oldest)
        deleted = 0
        # The newest bucket isn't over yet.
        while self._next_bucket < newest:
            deleted += await self._sweep_bucket(names, self._next_bucket)
            self._next_bucket += 1
        return deleted

    async def _sweep_bucket(self, names: Iterable[str], bucket: int) -> int:
        deleted = 0
        for caller in names:
            listing = await self._store.list_objects(
                CLAIM_KIND,
                f'{caller}.{bucket:08x}-',
            )
            for found in listing.entries:
                # A conflict means that a gateway still closes the claim, or
                # that another sweeper was faster.
                with contextlib.suppress(VersionConflictError):
                    await self._store.delete(
                        CLAIM_KIND,
                        found.name,
                        found.version,
                    )
                    deleted += 1
        return deleted


def _find_bucket(moment: dt.datetime) -> int:
    return int(moment.timestamp() * _MS_PER_S) // _BUCKET_MS
