"""Send the configuration to hosts that can't read it from the store.

Keys that were taken away have to be refused within seconds, also by a host
that is cut off from the store but not from the other hosts.
"""

import zlib
from collections.abc import Callable
from typing import Any

import msgspec

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import RequestError
from cassiarail.edge.dialect import Dialect
from cassiarail.edge.events import (
    CONFIGURATION_APPLIED,
    CONFIGURATION_COPY_TOO_LONG,
    CONFIGURATION_UNREADABLE,
)
from cassiarail.edge.fleet.messages import ConfigurationCopy, DemandReport
from cassiarail.edge.fleet.traffic import TrafficKind
from cassiarail.edge.registry.configuration import (
    Configuration,
    CurrentConfiguration,
)
from cassiarail.http1.pool import Address

# A host that reaches the store has read a new version by then.
_READ_S = 1.0
# Reports come twice a second in small fleets; one copy a second is enough.
_INTERVAL_S = 0.9
# A datagram over IPv4 holds at most 65,507 bytes.
_MAX_COPY_BYTES = 48_000
# Configurations of the largest known deployment have about 200 kB.
_MAX_DOCUMENT_BYTES = 4_194_304

SendCopy = Callable[[ConfigurationCopy, Address, TrafficKind], None]


def _discard(
    _copy: ConfigurationCopy, _address: Address, _kind: TrafficKind
) -> None:
    """Discard a copy while there is no link to the other hosts."""


class ConfigurationCopies:
    """Keep a copy of the applied configuration, and exchange copies."""

    def __init__(
        self,
        current: CurrentConfiguration,
        dialect: Dialect,
        clock: Clock,
    ) -> None:
        self._current = current
        self._dialect = dialect
        self._send: SendCopy = _discard
        self._clock = clock
        self._copy: ConfigurationCopy | None = None
        self._applied_at = clock.monotonic()
        self._sent_at: dict[Address, float] = {}

    def connect(self, send: SendCopy) -> None:
        """Send copies with ``send`` from now on."""
        self._send = send

    def get_version(self) -> int:
        """Return the version that this host applies, or 0."""
        return self._current.get_version()

    def record(self, configuration: Configuration, document: Any) -> None:
        """Keep the document of a configuration that was applied.

        Without client accounts there are no keys to take away, and hosts that
        are cut off go on with what they have.
        """
        self._applied_at = self._clock.monotonic()
        self._sent_at.clear()
        self._copy = None
        if not configuration.accounts:
            return
        # Keys never leave a host; their digests serve as well.
        hidden = self._dialect.hide_keys(document)
        compressed = zlib.compress(msgspec.json.encode(hidden))
        if len(compressed) > _MAX_COPY_BYTES:
            emit_event(
                CONFIGURATION_COPY_TOO_LONG,
                version=configuration.version,
                bytes=len(compressed),
            )
            return
        self._copy = ConfigurationCopy(configuration.version, compressed)

    def answer(self, report: DemandReport, sender: Address) -> None:
        """Send a copy to a host that applies an older configuration."""
        copy = self._copy
        if copy is None or report.configuration >= copy.version:
            return
        now = self._clock.monotonic()
        sent_at = self._sent_at.get(sender, float('-inf'))
        if now - self._applied_at < _READ_S or now - sent_at < _INTERVAL_S:
            return
        self._sent_at[sender] = now
        self._send(copy, sender, TrafficKind.CONFIGURATION)

    def receive(self, copy: ConfigurationCopy) -> bool:
        """Apply a copy if it is newer; return whether it was.

        A damaged one is logged.
        """
        if copy.version <= self.get_version():
            return False
        try:
            document = _decompress(copy.document)
            found = self._dialect.decode_configuration(document)
        except (ValueError, zlib.error, RequestError) as error:
            emit_event(
                CONFIGURATION_UNREADABLE, source='host', error=str(error)
            )
            return False
        if not self._current.offer(found):
            return False
        self.record(found, document)
        emit_event(
            CONFIGURATION_APPLIED,
            version=found.version,
            source='host',
            routes=len(found.routes),
        )
        return True


def _decompress(compressed: bytes) -> Any:
    decoder = zlib.decompressobj()
    document = decoder.decompress(compressed, _MAX_DOCUMENT_BYTES)
    if not decoder.eof:
        raise ValueError('the copy is cut off or too long')
    return msgspec.json.decode(document)
