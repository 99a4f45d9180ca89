"""Simulate a prefix cache that reports its changes late and with gaps."""

import collections
import random
from typing import NamedTuple

from cassiarail.core.clock import Clock

_EVENTS_MAX = 2000


class CacheEvent(NamedTuple):
    """Describe one change of a prefix cache."""

    sequence: int
    kind: str
    prefix: str
    model: str


class CacheReporting(NamedTuple):
    """Hold the delay in seconds and the share of lost cache events."""

    delay_s: float = 0.5
    lost_share: float = 0.05


class PrefixCache:
    """Hold the most recently used prefixes of an engine."""

    def __init__(
        self,
        clock: Clock,
        generator: random.Random,
        capacity_tokens: int,
        reporting: CacheReporting,
    ) -> None:
        self._clock = clock
        self._generator = generator
        self._capacity_tokens = capacity_tokens
        self._reporting = reporting
        self._entries: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=_EVENTS_MAX)
        )
        self._sequence = 0

    def store(self, model: str, prefix: str, tokens: int) -> bool:
        """Use or store a prefix; return whether it was already cached."""
        key = (model, prefix)
        if key in self._entries:
            self._entries.move_to_end(key)
            return True
        if tokens > self._capacity_tokens:
            return False
        self._entries[key] = tokens
        self._publish('stored', model, prefix)
        self._evict()
        return False

    def count_tokens(self, model: str, prefix: str) -> int:
        """Return the token count of a prefix; 0 if it isn't cached."""
        return self._entries.get((model, prefix), 0)

    def evict_model(self, model: str) -> None:
        """Evict all prefixes of a model."""
        for key in tuple(self._entries):
            if key[0] == model:
                self._entries.pop(key)
                self._publish('evicted', *key)

    def list_events(self, after: int) -> list[CacheEvent]:
        """Return the published events after a sequence number."""
        cutoff = self._clock.monotonic() - self._reporting.delay_s
        return [
            event
            for published_at, event in self._events
            if event.sequence > after and published_at <= cutoff
        ]

    def _evict(self) -> None:
        while sum(self._entries.values()) > self._capacity_tokens:
            key, _tokens = self._entries.popitem(last=False)
            self._publish('evicted', *key)

    def _publish(self, kind: str, model: str, prefix: str) -> None:
        self._sequence += 1
        if self._generator.random() < self._reporting.lost_share:
            return
        event = CacheEvent(self._sequence, kind, prefix, model)
        self._events.append((self._clock.monotonic(), event))
