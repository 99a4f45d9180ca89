"""Record what really ran at the outside systems.

The audit compares these records with what callers were told. All times are
monotonic seconds of the clock that the stand-ins share.
"""

import collections
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

from cassiarail.core.clock import Clock

# P6 allows a target that reports that it is leaving new work for this long.
LEAVING_BOUND_S = 3
COMPLETED = 'completed'
CANCELLED = 'cancelled'
CRASHED = 'crashed'
CUT_BY_STOP = 'cut_by_stop'
_FENCE = 'fence'

_Entry = TypeVar('_Entry')


class Run(NamedTuple):
    """Describe one request that a target began."""

    target: str
    instance: str
    request_id: str
    fingerprint: str
    idempotency_key: str
    begun_at: float
    resume_after: int = 0


class RunEnd(NamedTuple):
    """Describe how a run ended; ``number`` is its place among the runs."""

    number: int
    outcome: str
    ended_at: float


class Arrival(NamedTuple):
    """Describe new work that reached a target while it was leaving."""

    target: str
    instance: str
    request_id: str
    leaving_for_s: float


class AppliedOrder(NamedTuple):
    """Describe an order that took effect."""

    target: str
    instance: str
    order_id: str
    kind: str
    fence: int
    applied_at: float


class MemorySample(NamedTuple):
    """Hold the memory that a target holds after a change, in bytes."""

    target: str
    instance: str
    held_bytes: int
    memory_bytes: int
    sampled_at: float


class Filing(NamedTuple):
    """Describe one write of a filing or a payment."""

    target: str
    path: str
    record_id: str
    request_id: str
    idempotency_key: str
    written_at: float


class Departure(NamedTuple):
    """Describe the moment at which a process began a planned stop."""

    name: str
    instance: str
    began_at: float


class ExecutionRecords:
    """Collect what ran, in the order in which it happened."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.runs: list[Run] = []
        self.ends: dict[int, RunEnd] = {}
        self.arrivals: list[Arrival] = []
        self.orders: list[AppliedOrder] = []
        self.memory: list[MemorySample] = []
        self.filings: list[Filing] = []
        self.departures: list[Departure] = []
        self._leaving: dict[tuple[str, str], float] = {}

    def record_run_start(
        self,
        target: str,
        instance: str,
        request_id: str,
        fingerprint: str,
        idempotency_key: str = '',
        resume_after: int = 0,
    ) -> int:
        """Record that a request began; return the number of its run."""
        self.runs.append(
            Run(
                target,
                instance,
                request_id,
                fingerprint,
                idempotency_key,
                self._clock.monotonic(),
                resume_after,
            ),
        )
        return len(self.runs) - 1

    def record_run_end(self, number: int, outcome: str) -> None:
        """Record how a run ended; the first outcome stays."""
        self.ends.setdefault(
            number,
            RunEnd(number, outcome, self._clock.monotonic()),
        )

    def record_departure(self, name: str, instance: str) -> None:
        """Record that a process began a planned stop."""
        now = self._clock.monotonic()
        self._leaving.setdefault((name, instance), now)
        self.departures.append(Departure(name, instance, now))

    def record_arrival(self, target: str, instance: str, request: str) -> None:
        """Record new work that reached a target, if it is leaving."""
        began_at = self._leaving.get((target, instance))
        if began_at is None:
            return
        passed = self._clock.monotonic() - began_at
        self.arrivals.append(Arrival(target, instance, request, passed))

    def record_applied_order(
        self,
        target: str,
        instance: str,
        order_id: str,
        kind: str,
        fence: int,
    ) -> None:
        """Record an order that took effect."""
        now = self._clock.monotonic()
        self.orders.append(
            AppliedOrder(target, instance, order_id, kind, fence, now),
        )

    def record_memory(
        self,
        target: str,
        instance: str,
        held_bytes: int,
        memory_bytes: int,
    ) -> None:
        """Record the memory that a target holds."""
        now = self._clock.monotonic()
        self.memory.append(
            MemorySample(target, instance, held_bytes, memory_bytes, now),
        )

    def record_filing(
        self,
        target: str,
        path: str,
        record_id: str,
        request_id: str,
        idempotency_key: str,
    ) -> None:
        """Record one write of a filing or payment."""
        now = self._clock.monotonic()
        self.filings.append(
            Filing(target, path, record_id, request_id, idempotency_key, now),
        )

    def list_late_arrivals(self) -> list[Arrival]:
        """Return new work that came too long after a target was leaving."""
        return [
            arrival
            for arrival in self.arrivals
            if arrival.leaving_for_s > LEAVING_BOUND_S
        ]

    def list_interrupted_runs(self) -> Iterator[Run]:
        """Yield the runs that a planned stop of their target cut."""
        for end in self.ends.values():
            if end.outcome == CUT_BY_STOP:
                yield self.runs[end.number]

    def count_moves(self) -> collections.Counter[str]:
        """Return the applied orders by kind; a fence moves nothing."""
        return collections.Counter(
            order.kind for order in self.orders if order.kind != _FENCE
        )

    def find_overcommitted_bytes_max(self) -> int:
        """Return the largest excess of held memory over a capacity."""
        excesses = (
            sample.held_bytes - sample.memory_bytes for sample in self.memory
        )
        return max(0, max(excesses, default=0))

    def describe(self) -> dict[str, Any]:
        """Return all records as a JSON document."""
        return {
            'runs': [
                {**run._asdict(), **self._describe_end(number)}
                for number, run in enumerate(self.runs)
            ],
            'arrivals': [part._asdict() for part in self.arrivals],
            'orders': [part._asdict() for part in self.orders],
            'memory': [part._asdict() for part in self.memory],
            'filings': [part._asdict() for part in self.filings],
            'departures': [part._asdict() for part in self.departures],
        }

    @classmethod
    def restore(
        cls, clock: Clock, document: Mapping[str, Any]
    ) -> 'ExecutionRecords':
        """Return the records that ``describe`` wrote in another process."""
        records = cls(clock)
        for number, part in enumerate(document['runs']):
            run = dict(part)
            outcome = run.pop('outcome')
            ended_at = run.pop('ended_at')
            records.runs.append(Run(**run))
            if outcome:
                records.ends[number] = RunEnd(number, outcome, ended_at)
        records.arrivals = _restore(Arrival, document['arrivals'])
        records.orders = _restore(AppliedOrder, document['orders'])
        records.memory = _restore(MemorySample, document['memory'])
        records.filings = _restore(Filing, document['filings'])
        records.departures = _restore(Departure, document['departures'])
        return records

    def _describe_end(self, number: int) -> dict[str, object]:
        end = self.ends.get(number)
        if end is None:
            return {'outcome': '', 'ended_at': None}
        return {'outcome': end.outcome, 'ended_at': end.ended_at}


def omit_earlier(
    document: Mapping[str, Any],
    earlier: Mapping[str, Any],
) -> dict[str, Any]:
    """Return described records without those of an earlier description."""
    return {
        key: entries[len(earlier[key]) :] for key, entries in document.items()
    }


def _restore(
    shape: Callable[..., _Entry],
    documents: Sequence[Mapping[str, Any]],
) -> list[_Entry]:
    return [shape(**document) for document in documents]
