"""Record what the external systems actually executed.

The audit compares these records with the responses that callers received. All
times are monotonic seconds of the clock that the stand-ins share.
"""

import collections
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

from cassiarail.core.clock import Clock

# P6 allows new requests to reach a target for this long after it reports that
# it is leaving.
LEAVING_GRACE_S = 3
COMPLETED = 'completed'
CANCELLED = 'cancelled'
CRASHED = 'crashed'
CUT_BY_STOP = 'cut_by_stop'
_FENCE = 'fence'

_Record = TypeVar('_Record')


class Run(NamedTuple):
    """Describe one request that a target started."""

    target: str
    instance: str
    request_id: str
    fingerprint: str
    idempotency_key: str
    begun_at: float
    resume_after: int = 0


class RunEnd(NamedTuple):
    """Describe how a run ended; ``number`` is its index in the runs."""

    number: int
    outcome: str
    ended_at: float


class Arrival(NamedTuple):
    """Describe a new request that reached a leaving target."""

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
    """Hold the memory use of a target after a change, in bytes."""

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
    """Describe the start of a planned stop of a process."""

    name: str
    instance: str
    began_at: float


class ExecutionRecords:
    """Collect executed requests and orders in the order of their execution."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.runs: list[Run] = []
        self.ends: dict[int, RunEnd] = {}
        self.arrivals: list[Arrival] = []
        self.orders: list[AppliedOrder] = []
        self.memory: list[MemorySample] = []
        self.filings: list[Filing] = []
        self.departures: list[Departure] = []
        self._leaving_since: dict[tuple[str, str], float] = {}

    def record_run_start(
        self,
        target: str,
        instance: str,
        request_id: str,
        fingerprint: str,
        idempotency_key: str = '',
        resume_after: int = 0,
    ) -> int:
        """Record the start of a request; return the number of its run."""
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
        """Record how a run ended; later outcomes are ignored."""
        self.ends.setdefault(
            number,
            RunEnd(number, outcome, self._clock.monotonic()),
        )

    def record_departure(self, name: str, instance: str) -> None:
        """Record the start of a planned stop of a process."""
        now = self._clock.monotonic()
        self._leaving_since.setdefault((name, instance), now)
        self.departures.append(Departure(name, instance, now))

    def record_arrival(
        self, target: str, instance: str, request_id: str
    ) -> None:
        """Record a new request at a target if the target is leaving."""
        leaving_since = self._leaving_since.get((target, instance))
        if leaving_since is None:
            return
        leaving_for_s = self._clock.monotonic() - leaving_since
        self.arrivals.append(
            Arrival(target, instance, request_id, leaving_for_s)
        )

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
        """Record the memory use of a target."""
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
        """Return requests that arrived after the grace period of a target."""
        return [
            arrival
            for arrival in self.arrivals
            if arrival.leaving_for_s > LEAVING_GRACE_S
        ]

    def list_interrupted_runs(self) -> Iterator[Run]:
        """Yield the runs that a planned stop interrupted."""
        for end in self.ends.values():
            if end.outcome == CUT_BY_STOP:
                yield self.runs[end.number]

    def count_moves(self) -> collections.Counter[str]:
        """Count applied orders by kind, except fences, which move nothing."""
        return collections.Counter(
            order.kind for order in self.orders if order.kind != _FENCE
        )

    def find_overcommitted_bytes_max(self) -> int:
        """Return the largest excess of memory use over capacity."""
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
            'arrivals': [arrival._asdict() for arrival in self.arrivals],
            'orders': [order._asdict() for order in self.orders],
            'memory': [sample._asdict() for sample in self.memory],
            'filings': [filing._asdict() for filing in self.filings],
            'departures': [
                departure._asdict() for departure in self.departures
            ],
        }

    @classmethod
    def restore(
        cls, clock: Clock, document: Mapping[str, Any]
    ) -> 'ExecutionRecords':
        """Load records from the document that ``describe`` returned."""
        records = cls(clock)
        for number, run_document in enumerate(document['runs']):
            run = dict(run_document)
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
    """Return a records document without the entries of an earlier one."""
    return {
        key: entries[len(earlier[key]) :] for key, entries in document.items()
    }


def _restore(
    record_class: Callable[..., _Record],
    documents: Sequence[Mapping[str, Any]],
) -> list[_Record]:
    return [record_class(**document) for document in documents]
