"""Order what was read from a store that may come back from a copy.

A store that comes back from a copy starts a new era and gives out revisions
again. Of two objects that were read, the one of the later era is newer; within
an era the higher revision is. A version holds both in one number, so that it
is compared, stored and sent like a revision. In era 0, that of a store that
names none, versions are revisions.
"""

from collections.abc import Callable
from typing import NamedTuple

from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionConflictError,
    WatchExpiredError,
)
from cassiarail.store.events import STORE_ERA_CHANGED, STORE_ERA_KNOWN

# A store that writes a thousand times a second for thirty years stays below.
_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1
# A store whose era is at most this may be one that never lost anything.
_FIRST_ERA = 1


class EarlierEraError(StoreUnavailableError):
    """Report what was read in an earlier era than the known one."""

    error_id = 'CR4007'
    code = 'earlier_era'


class Version(NamedTuple):
    """Hold the parts of a version; ``number`` orders those of an era."""

    era: int
    number: int

    def pack(self) -> int:
        """Return the version as one number of the same order."""
        return (self.era << _NUMBER_BITS) | self.number

    @classmethod
    def unpack(cls, version: int) -> 'Version':
        """Return the parts of a packed version."""
        return cls(version >> _NUMBER_BITS, version & _NUMBER_MASK)


class StoreEra:
    """Hold the latest era of a store that this process knows.

    ``changes`` counts the changes that this process has noticed; the first era
    that it learns is none. ``listeners`` are called after each change.
    """

    def __init__(self) -> None:
        self.current = 0
        self.changes = 0
        self.listeners: list[Callable[[], None]] = []
        self._is_known = False

    @property
    def may_have_lost(self) -> bool:
        """Return whether the store may have lost what it acknowledged."""
        return self.current > _FIRST_ERA or bool(self.changes)

    def observe(self, era: int, source: str) -> None:
        """Record an era that an answer or another host has named."""
        if self._is_known and era <= self.current:
            return
        earlier = self.current
        self.current = max(era, earlier)
        if not self._is_known:
            self._is_known = True
            emit_event(STORE_ERA_KNOWN, era=era, source=source)
            return
        self.changes += 1
        emit_event(STORE_ERA_CHANGED, era=era, earlier=earlier, source=source)
        for listener in list(self.listeners):
            listener()

    def is_past(self, version: int) -> bool:
        """Return whether a version was read in an earlier era."""
        return Version.unpack(version).era < self.current

    def read_answer(self, header: str | None, *, is_write: bool) -> int:
        """Return the era of an answer, and record it.

        An answer without an era belongs to the current one. An answer of an
        earlier era arrived late: what it says may be lost. Raises
        ``EarlierEraError`` for such a read and
        ``StoreOutcomeUnknownError`` for such a write.
        """
        if header is None or not header.strip().isdecimal():
            return self.current
        era = int(header)
        self.observe(era, 'answer')
        if era < self.current:
            message = f'the answer is of era {era}, before {self.current}'
            if is_write:
                raise StoreOutcomeUnknownError(message)
            raise EarlierEraError(message)
        return era

    def require_current(self, version: int) -> int:
        """Return the revision by which to write an object.

        Raises ``VersionConflictError`` for a version of an earlier era, whose
        revision may have been given out again.
        """
        if self.is_past(version):
            raise VersionConflictError('the object was read in an earlier era')
        return Version.unpack(version).number

    def require_history(self, version: int) -> int:
        """Return the revision after which to watch.

        Raises ``WatchExpiredError`` for a version of an earlier era.
        """
        if self.is_past(version):
            raise WatchExpiredError('the store has begun a new era')
        return Version.unpack(version).number


def require_same_era(era: int, expected: int, *, is_write: bool) -> None:
    """Raise an error if an answer is of a later era than its request.

    ``expected`` is the version that the request named. A write may then have
    replaced another object than the one that was read, so its outcome has to
    be read back; a watch may lack changes.
    """
    if era <= Version.unpack(expected).era:
        return
    message = f'the store has begun era {era} meanwhile'
    if is_write:
        raise StoreOutcomeUnknownError(message)
    raise WatchExpiredError(message)
