"""Define the interface of the object store."""

import abc
import functools
from typing import Any, NamedTuple

from cassiarail.store.eras import StoreEra

# A JSON document that ``msgspec.json`` can encode and decode.
JsonValue = Any


class StoredObject(NamedTuple):
    """Object as returned by the object API.

    ``version`` contains the era in which it was read (``store/eras.py``).
    """

    kind: str
    name: str
    version: int
    document: JsonValue


class Listing(NamedTuple):
    """Objects of a kind at one revision of the store."""

    revision: int
    entries: list[StoredObject]


class WatchBatch(NamedTuple):
    """Changes of a kind after a revision."""

    revision: int
    entries: list[StoredObject]
    deleted: list[str]


class ObjectStore(abc.ABC):
    """Read, watch and conditionally write objects.

    Every method raises ``StoreUnavailableError`` if the call certainly had no
    effect, and writes raise ``StoreOutcomeUnknownError`` if the response was
    lost and the write may have taken effect. Versions and revisions contain
    the era; a write of an object that was read in an earlier era raises
    ``VersionConflictError``.
    """

    @functools.cached_property
    def era(self) -> StoreEra:
        """Return the latest known era of the store."""
        return StoreEra()

    @abc.abstractmethod
    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it doesn't exist."""

    @abc.abstractmethod
    async def list_objects(self, kind: str, prefix: str = '') -> Listing:
        """Return the objects of a kind whose names have a prefix."""

    @abc.abstractmethod
    async def create(self, kind: str, name: str, document: JsonValue) -> int:
        """Create an object and return its version.

        Raises ``VersionConflictError`` if the object exists.
        """

    @abc.abstractmethod
    async def replace(
        self,
        kind: str,
        name: str,
        document: JsonValue,
        version: int,
    ) -> int:
        """Replace an object at a known version; return the new version.

        Raises ``VersionConflictError`` if the current version differs.
        """

    @abc.abstractmethod
    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object at a known version."""

    @abc.abstractmethod
    async def watch(
        self,
        kind: str,
        after: int,
        timeout_s: float,
        prefix: str = '',
    ) -> WatchBatch:
        """Wait for changes after a revision.

        Returns an empty batch after the timeout. Raises ``WatchExpiredError``
        if the revision is no longer retained or of an earlier era; list the
        objects again then.
        """

    async def aclose(self) -> None:
        """Release the connections of the client."""
