"""Encode configurations as documents or as patches on a known generation.

A whole configuration at the design size takes tens of kilobytes compressed;
one change affects a few of its entries. A patch replaces the changed entries
of each list by name.
"""

import collections
import hashlib
import zlib
from typing import Any

import msgspec

from cassiarail.core.exceptions import PeerRejectedError
from cassiarail.declarations.schema import ConfigurationDocument
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.membership.rows import pack_document, unpack_document

_MAX_PATCHES = 32
_CHECKSUM_BYTES = 8
_MAX_PATCH_BYTES = 4_000_000
_MISSING = object()
_DECODE_ERRORS = (zlib.error, msgspec.DecodeError, LookupError, TypeError)


class BundleHistory:
    """Hold the current configuration and recent patches that led to it."""

    def __init__(self) -> None:
        self._current: ConfigurationDocument | None = None
        self._full: pb.ConfigurationBundle | None = None
        self._patches: collections.OrderedDict[int, pb.ConfigurationBundle] = (
            collections.OrderedDict()
        )

    def append(self, document: ConfigurationDocument) -> None:
        """Make a configuration the current one."""
        if self._current is not None:
            base = self._current['generation']
            self._patches[base] = _build_patch(self._current, document)
            while len(self._patches) > _MAX_PATCHES:
                self._patches.popitem(last=False)
        self._current = document
        self._full = None

    def get_bundle(self, generation: int) -> pb.ConfigurationBundle:
        """Return a patch on a generation, or the whole configuration."""
        if self._current is None:
            return pb.ConfigurationBundle()
        patch = self._patches.get(generation)
        if patch and patch.generation == self._current['generation']:
            return patch
        if self._full is None:
            self._full = pb.ConfigurationBundle(
                generation=self._current['generation'],
                payload=pack_document(self._current),
                checksum=_compute_checksum(self._current),
            )
        return self._full

    def unpack(
        self,
        bundle: pb.ConfigurationBundle,
    ) -> ConfigurationDocument | None:
        """Return the configuration of a bundle.

        Returns ``None`` if it is a patch on another generation or holds no
        payload. Raises ``PeerRejectedError`` if the checksum differs.
        """
        if not bundle.payload:
            return None
        if bundle.base_generation:
            current = self._current
            if not current or current['generation'] != bundle.base_generation:
                return None
            document = _apply_patch(current, bundle.payload)
        else:
            document = unpack_document(bundle.payload)
        if _compute_checksum(document) != bundle.checksum:
            raise PeerRejectedError('configuration checksum does not match')
        return document


def _compute_checksum(document: ConfigurationDocument) -> bytes:
    text = msgspec.json.encode(document, order='sorted')
    return hashlib.sha256(text).digest()[:_CHECKSUM_BYTES]


def _build_patch(
    before: ConfigurationDocument,
    after: ConfigurationDocument,
) -> pb.ConfigurationBundle:
    difference = _find_difference(before, after)
    return pb.ConfigurationBundle(
        generation=after['generation'],
        base_generation=before['generation'],
        payload=zlib.compress(msgspec.json.encode(difference)),
        checksum=_compute_checksum(after),
    )


def _apply_patch(
    before: ConfigurationDocument,
    payload: bytes,
) -> ConfigurationDocument:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(payload, _MAX_PATCH_BYTES)
        patched: ConfigurationDocument = _merge(
            before,
            msgspec.json.decode(text),
        )
    except _DECODE_ERRORS as error:
        raise PeerRejectedError('configuration patch is malformed') from error
    return patched


def _find_difference(before: Any, after: Any) -> Any:
    """Return the difference that ``_merge`` applies to the old value.

    Differences are ``{"set": value}``, ``{"keys": {...}, "gone": [...]}`` for
    mappings and ``{"order": [...], "named": {...}}`` for lists whose entries
    all have different names. An order of ``None`` means that the names and
    their order are unchanged.
    """
    if isinstance(before, dict) and isinstance(after, dict):
        return _find_mapping_difference(before, after)
    old = _index_by_name(before)
    new = _index_by_name(after)
    if old is None or new is None:
        return {'set': after}
    order = None if list(old) == list(new) else list(new)
    return {
        'order': order,
        'named': _find_mapping_difference(old, new)['keys'],
    }


def _find_mapping_difference(
    before: dict[str, Any],
    after: dict[str, Any],
) -> dict[str, Any]:
    changed = {}
    for key, new in after.items():
        if key not in before:
            changed[key] = {'set': new}
        elif before[key] != new:
            changed[key] = _find_difference(before[key], new)
    removed = before.keys() - after.keys()
    return {'keys': changed, 'gone': sorted(removed)}


def _merge(before: Any, difference: dict[str, Any]) -> Any:
    replacement = difference.get('set', _MISSING)
    if replacement is not _MISSING:
        return replacement
    if 'order' not in difference:
        merged = _merge_mapping(before, difference['keys'])
        for key in difference['gone']:
            merged.pop(key)
        return merged
    named = _merge_mapping(_index_by_name(before) or {}, difference['named'])
    order = difference['order']
    if order is None:
        return list(named.values())
    return [named[name] for name in order]


def _merge_mapping(
    before: dict[str, Any],
    changed: dict[str, Any],
) -> dict[str, Any]:
    merged = dict(before)
    for key, difference in changed.items():
        merged[key] = _merge(before.get(key), difference)
    return merged


def _index_by_name(entries: Any) -> dict[str, Any] | None:
    """Return a list's entries by name; ``None`` unless all names differ."""
    if not isinstance(entries, list):
        return None
    named = {
        entry['name']: entry
        for entry in entries
        if isinstance(entry, dict) and 'name' in entry
    }
    return named if len(named) == len(entries) else None
