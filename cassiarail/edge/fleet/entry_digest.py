"""Identify the entries of a directory by a number."""

import hashlib

from cassiarail.edge.registry.targets import TargetDirectory

_DIGEST_BYTES = 7


class EntryDigest:
    """Compute the digest of a directory again only after changes."""

    def __init__(self, directory: TargetDirectory) -> None:
        self._directory = directory
        self._version = -1
        self._digest = 0

    def compute(self) -> int:
        """Return a number that is equal for equal entries, and never 0.

        Two entries are equal if they list the same incarnation of a target
        and agree on whether it is leaving.
        """
        if self._version != self._directory.entry_version:
            self._version = self._directory.entry_version
            listed = sorted(
                (*entry.identity, entry.is_leaving)
                for entry in self._directory.list_entries()
            )
            hashed = hashlib.blake2b(
                repr(listed).encode(),
                digest_size=_DIGEST_BYTES,
            )
            self._digest = int.from_bytes(hashed.digest()) or 1
        return self._digest
