"""Tell which missing claims a store may have lost.

A store that comes back from a copy lacks the claims of its last seconds. A key
that is older than that has perhaps been claimed, and its call may have run.
Keys carry the time of the caller's clock.
"""

import datetime as dt

from cassiarail.core.clock import Clock
from cassiarail.store.claim_errors import UnresolvedClaimError
from cassiarail.store.eras import StoreEra

# A key that was claimed before a change carries at most a time this much later.
CALLER_CLOCK_MARGIN = dt.timedelta(seconds=2)


class ClaimLosses:
    """Remember until when claims may have been lost."""

    def __init__(self, era: StoreEra, clock: Clock) -> None:
        self._era = era
        self._clock = clock
        self._changed_at: dt.datetime | None = None
        era.listeners.append(self._record_change)

    def require_kept(self, key_time: dt.datetime) -> None:
        """Raise an error if a claim may be lost whose key carries a time.

        Raises ``UnresolvedClaimError``, as the call may have run. A process
        that learns only of a later era than the first one doesn't know when
        that began; it counts from its first question.
        """
        if not self._era.may_have_lost:
            return
        self._changed_at = self._changed_at or self._clock.now()
        if key_time < self._changed_at + CALLER_CLOCK_MARGIN:
            raise UnresolvedClaimError(
                'the store may have lost an earlier call with this key',
            )

    def _record_change(self) -> None:
        self._changed_at = self._clock.now()
