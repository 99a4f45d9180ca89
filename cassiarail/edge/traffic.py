"""Count what this host sends to the others."""

import collections
import enum

from prometheus_client import CollectorRegistry
from prometheus_client import Counter as CounterMetric

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.edge.events import PEER_TRAFFIC

_PERIOD_S = 1.0
# A twentieth of the narrowest link of the known deployments (5 Mbit/s) is
# worth a line.
_TOLD_BYTES = 32_768


class TrafficKind(enum.Enum):
    """Name what a datagram is sent for."""

    LEDGER = 'ledger'
    RELAY = 'relay'
    REPEAT = 'repeat'
    DIGEST = 'digest'


class PeerTraffic:
    """Count datagrams, and log the seconds with many of them."""

    def __init__(
        self,
        clock: Clock,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self._clock = clock
        self._bytes: collections.Counter[str] = collections.Counter()
        self._datagrams = 0
        self._begun_at = clock.monotonic()
        self._total = CounterMetric(
            'cassiarail_peer_sent_bytes_total',
            'Bytes of datagrams sent to other hosts, by what they are for.',
            ['kind'],
            registry=registry,
        )

    def count(self, kind: TrafficKind, size: int) -> None:
        """Count a datagram that is sent."""
        self._bytes[kind.value] += size
        self._datagrams += 1
        self._total.labels(kind.value).inc(size)

    def tell(self) -> None:
        """Log the last second if it had much traffic."""
        now = self._clock.monotonic()
        if now - self._begun_at < _PERIOD_S:
            return
        if self._bytes.total() >= _TOLD_BYTES:
            emit_event(
                PEER_TRAFFIC,
                seconds=now - self._begun_at,
                datagrams=self._datagrams,
                sent_bytes=dict(self._bytes),
            )
        self._bytes.clear()
        self._datagrams = 0
        self._begun_at = now
