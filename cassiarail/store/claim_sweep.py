"""Delete claims whose idempotency key is no longer accepted."""

import contextlib
import datetime as dt
from collections.abc import Iterable

from cassiarail.core.exceptions import VersionConflictError
from cassiarail.store.backends.base import ObjectStore
from cassiarail.store.claims import CLAIM_KIND, RETENTION

# A claim is deleted this long after its key is last accepted, so that the
# clocks of gateways may differ by as much.
DELETION_MARGIN = dt.timedelta(hours=1)
# The first group of a key holds the upper 32 of its 48 timestamp bits.
_BUCKET_MS = 65_536
_MS_PER_S = 1000


class ClaimSweeper:
    """Delete expired claims in buckets of about one minute.

    The name of a claim consists of caller and key, and a key begins with its
    timestamp, so a bucket can be listed by prefix without reading all claims.
    One process of the deployment should run a sweeper, such as the holder of
    a lease; more than one only wastes calls.
    """

    def __init__(self, store: ObjectStore, backlog: dt.timedelta) -> None:
        """Start ``backlog`` before the newest expired bucket.

        A sweeper stores no state, so the backlog has to cover the time for
        which no sweeper may have run.
        """
        self._store = store
        self._backlog = backlog
        self._next_bucket: int | None = None

    async def sweep(self, callers: Iterable[str], now: dt.datetime) -> int:
        """Delete all claims that have expired since the last call.

        Returns the number of deleted claims. Raises ``StoreError``; the next
        call then resumes at the failed bucket.
        """
        caller_names = tuple(callers)
        newest = _find_bucket(now - RETENTION - DELETION_MARGIN)
        if self._next_bucket is None:
            oldest = now - RETENTION - DELETION_MARGIN - self._backlog
            self._next_bucket = _find_bucket(oldest)
        deleted = 0
        # Keys in the newest bucket may not have expired yet.
        while self._next_bucket < newest:
            deleted += await self._sweep_bucket(caller_names, self._next_bucket)
            self._next_bucket += 1
        return deleted

    async def _sweep_bucket(
        self, caller_names: Iterable[str], bucket: int
    ) -> int:
        deleted = 0
        for caller in caller_names:
            listing = await self._store.list_objects(
                CLAIM_KIND,
                f'{caller}.{bucket:08x}-',
            )
            for found in listing.entries:
                # A conflict means that a gateway is still closing the claim
                # or that another sweeper has deleted it.
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
