"""Publish the status of a data centre and read those of the others."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, cast

from typing_extensions import TypedDict

from cassiarail.control.ledger import parse_key
from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import StaleFenceError
from cassiarail.store.backends.base import StoredObject
from cassiarail.store.writes import ConditionalWriter

STATUS_KIND = 'status'
# A status that didn't change for this time counts as stale.
# The status is written every 5 s, which allows for three lost writes in a row.
_STALE_AFTER_S = 20.0


class TargetStatus(TypedDict):
    """Describe the reserved and held keys of one target, as formatted keys.

    ``live`` lists the keys that are ready and will stay ready.
    """

    name: str
    service: str
    memory_bytes: int
    charged_bytes: int
    unresolved_orders: int
    capacity: float
    reached: bool
    leaving: bool
    held: list[str]
    live: list[str]


class StatusDocument(TypedDict):
    """Describe the status of a data centre, object ``status/{data_centre}``."""

    data_centre: str
    holder: str
    fence: int
    written_at: float
    targets: list[TargetStatus]
    unplaced: dict[str, str]
    moves: dict[str, int]


class _ReadStatus(NamedTuple):
    version: int
    changed_at: float
    document: StatusDocument


class StatusRepository:
    """Write the status of one data centre and read those of the others."""

    def __init__(
        self,
        writer: ConditionalWriter,
        data_centre: str,
        clock: Clock,
        stale_after_s: float = _STALE_AFTER_S,
    ) -> None:
        """Set the local data centre and the age limit of other statuses."""
        self._writer = writer
        self._data_centre = data_centre
        self._clock = clock
        self._stale_after_s = stale_after_s
        self._statuses: dict[str, _ReadStatus] = {}

    async def publish(self, status: StatusDocument) -> None:
        """Write the status of the local data centre.

        Raises ``StaleFenceError`` if a later lease holder wrote it, and
        ``StoreError``.
        """
        await self._writer.update(
            STATUS_KIND,
            self._data_centre,
            lambda found: _replace_status(found, status),
        )

    async def refresh(self) -> None:
        """Read the statuses of the other data centres.

        Ages are measured by the local clock from the first read of a version.
        """
        listing = await self._writer.store.list_objects(STATUS_KIND)
        for stored in listing.entries:
            if stored.name != self._data_centre:
                self._record(stored)

    def list_current(self) -> list[StatusDocument]:
        """Return the statuses that changed within the age limit."""
        now = self._clock.monotonic()
        return [
            entry.document
            for entry in self._statuses.values()
            if now - entry.changed_at <= self._stale_after_s
        ]

    def has_copy(self, data_centres: Sequence[str], model: str) -> bool:
        """Return whether any of the given data centres has a model ready."""
        return any(
            _has_model(status, model)
            for status in self.list_current()
            if status['data_centre'] in data_centres
        )

    def _record(self, stored: StoredObject) -> None:
        previous = self._statuses.get(stored.name)
        if previous is None or previous.version != stored.version:
            self._statuses[stored.name] = _ReadStatus(
                stored.version,
                self._clock.monotonic(),
                cast(StatusDocument, stored.document),
            )


def _has_model(status: StatusDocument, model: str) -> bool:
    return any(
        key.model == model and not key.adapter
        for target in status['targets']
        for key in map(parse_key, target['live'])
    )


def _replace_status(
    found: Mapping[str, Any] | None,
    status: StatusDocument,
) -> StatusDocument:
    if found is not None and found['fence'] > status['fence']:
        raise StaleFenceError('a later lease holder wrote the status')
    return status
