"""Count and pace the datagrams to the other hosts."""

import collections
import enum
from typing import NamedTuple

from prometheus_client import CollectorRegistry
from prometheus_client import Counter as CounterMetric

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.edge.events import PEER_TRAFFIC

_PERIOD_S = 1.0
_BYTES_PER_MBIT = 125_000
# A second with more than a twentieth of the narrowest link of the known
# deployments (5 Mbit/s) is logged.
_LOGGED_BYTES = 32_768


class TrafficKind(enum.Enum):
    """Name the purpose of a datagram."""

    STATE_UPDATE = 'ledger'
    RELAY = 'relay'
    RESEND = 'repeat'
    DEMAND_REPORT = 'digest'
    CRASH_REPORT = 'crashes'
    CONFIGURATION = 'configuration'
    QUOTA = 'quota'


class TrafficRules(NamedTuple):
    """Limit what a host sends to others.

    ``link_mbps`` is the rate of the host's link in Mbit/s, of which
    ``link_share`` may be used for other hosts; callers and engines need the
    remainder. ``max_bytes_per_s`` keeps a host with a wide link from sending
    more than those with a narrow one can relay.
    """

    link_mbps: float
    link_share: float = 0.25
    max_bytes_per_s: float = 512_000

    @property
    def bytes_per_s(self) -> float:
        """Return the limit in bytes per second."""
        own = self.link_mbps * _BYTES_PER_MBIT * self.link_share
        return min(own, self.max_bytes_per_s)


class PeerTraffic:
    """Count and pace datagrams, and log seconds with much traffic."""

    def __init__(
        self,
        clock: Clock,
        rules: TrafficRules,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self._clock = clock
        self._rules = rules
        self._free_at = clock.monotonic()
        self._bytes: collections.Counter[str] = collections.Counter()
        self._datagrams = 0
        self._period_began_at = clock.monotonic()
        self._total = CounterMetric(
            'cassiarail_peer_sent_bytes_total',
            'Bytes of datagrams sent to other hosts, by purpose.',
            ['kind'],
            registry=registry,
        )

    def count(self, kind: TrafficKind, size: int) -> None:
        """Count a datagram that is being sent."""
        now = self._clock.monotonic()
        self._free_at = max(now, self._free_at)
        self._free_at += size / self._rules.bytes_per_s
        self._bytes[kind.value] += size
        self._datagrams += 1
        self._total.labels(kind.value).inc(size)

    def delay_s(self) -> float:
        """Return how long the link needs to carry what was sent so far."""
        return max(0, self._free_at - self._clock.monotonic())

    def log_traffic(self) -> None:
        """Log the last second if it had much traffic."""
        now = self._clock.monotonic()
        if now - self._period_began_at < _PERIOD_S:
            return
        if self._bytes.total() >= _LOGGED_BYTES:
            emit_event(
                PEER_TRAFFIC,
                seconds=now - self._period_began_at,
                datagrams=self._datagrams,
                sent_bytes=dict(self._bytes),
            )
        self._bytes.clear()
        self._datagrams = 0
        self._period_began_at = now
