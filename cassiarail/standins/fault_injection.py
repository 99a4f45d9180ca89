"""Inject faults by name, immediately or on a seeded random schedule."""

import itertools
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import CassiarailError
from cassiarail.standins.application import Standins
from cassiarail.standins.faults import Fault, FaultName
from cassiarail.standins.settings import FaultDocument

PauseHook = Callable[[str, float], None]
# Longer than a lease, so that a paused lease holder resumes after expiry.
_DEFAULT_PAUSE_S = 12
_RESPONSE_LOSS_PROBABILITY = 0.3
_HOST_LIST_DELAY_S = 20


class FaultRejectedError(CassiarailError):
    """Report a fault that is unknown or not supported here."""

    error_id = 'CR1060'
    code = 'fault_rejected'
    status = 400


class TimedFault(NamedTuple):
    """Hold a fault and its start, in seconds after the schedule begins."""

    at_s: float
    document: FaultDocument


class FaultRange(NamedTuple):
    """Hold the parameters of a scheduled fault; ranges are in seconds."""

    name: FaultName
    duration_s: tuple[float, float] = (0, 0)
    delay_s: float = 0
    probability: float = 1
    needs_target: bool = False


DEFAULT_RANGES = (
    FaultRange(FaultName.TARGET_CRASH, needs_target=True),
    FaultRange(FaultName.TARGET_LEAVING, needs_target=True),
    FaultRange(FaultName.SILENT_CONNECTIONS, needs_target=True),
    FaultRange(FaultName.POISON_REQUEST, (5, 20)),
    FaultRange(FaultName.LOST_ORDERS, (5, 20), probability=0.5),
    FaultRange(FaultName.LATE_ORDERS, (5, 20), delay_s=8, probability=0.5),
    FaultRange(FaultName.STORE_OUTAGE, (2, 15)),
    FaultRange(FaultName.SLOW_STORE, (5, 30), delay_s=0.5),
    FaultRange(
        FaultName.STORE_ANSWER_LOST,
        (5, 20),
        probability=_RESPONSE_LOSS_PROBABILITY,
    ),
    FaultRange(FaultName.HOST_LIST_LAG, (10, 30), delay_s=_HOST_LIST_DELAY_S),
    FaultRange(
        FaultName.SERVICE_ANSWER_LOST,
        (5, 20),
        probability=_RESPONSE_LOSS_PROBABILITY,
    ),
    FaultRange(FaultName.SLOW_WEIGHTS, (5, 20), delay_s=3),
    FaultRange(FaultName.PARTITION, (5, 20)),
    FaultRange(FaultName.PAUSED_PROCESS),
)


class FaultInjector:
    """Inject faults into the stand-ins of a deployment."""

    def __init__(
        self,
        standins: Standins,
        clock: Clock,
        pause: PauseHook | None = None,
    ) -> None:
        """Create an injector; ``pause(name, seconds)`` pauses a process."""
        self._standins = standins
        self._clock = clock
        self._pause_hook = pause
        self._partitions: list[frozenset[str]] = []
        self._scheduled_ends: dict[str, FaultDocument] = {}
        self._end_numbers = itertools.count()

    def apply(self, document: FaultDocument) -> None:
        """Switch a fault on or off; it ends by itself after ``duration_s``.

        Raises ``FaultRejectedError`` if the fault is unknown or unsupported.
        """
        name = _parse_name(document['name'])
        if document.get('on', True):
            self._switch_on(name, document)
        else:
            self._switch_off(name, document)

    async def run_schedule(self, schedule: Sequence[TimedFault]) -> None:
        """Apply each fault at its time, measured from the call."""
        started_at = self._clock.monotonic()
        for timed_fault in sorted(schedule, key=lambda entry: entry.at_s):
            elapsed_s = self._clock.monotonic() - started_at
            await self._clock.sleep(max(0, timed_fault.at_s - elapsed_s))
            self.apply(timed_fault.document)

    def _switch_on(self, name: FaultName, document: FaultDocument) -> None:
        subjects = frozenset(document.get('subjects', ()))
        self._inject(name, subjects, document)
        self._standins.faults.switch_on(
            name,
            Fault(
                document.get('probability', 1),
                document.get('delay_s', 0),
                subjects,
            ),
        )
        if name in _INSTANT_FAULTS:
            self._standins.faults.switch_off(name)
        elif document.get('duration_s'):
            end_number = str(next(self._end_numbers))
            self._scheduled_ends[end_number] = document
            self._standins.spawn(self._switch_off_later, end_number)

    def _inject(
        self,
        name: FaultName,
        subjects: frozenset[str],
        document: FaultDocument,
    ) -> None:
        if name is FaultName.PARTITION:
            self._start_partition(subjects)
        elif name is FaultName.PAUSED_PROCESS:
            self._pause_processes(subjects, document)
        elif name is FaultName.STORE_COPY:
            self._standins.store.take_copy()
        elif name in _INSTANT_FAULTS:
            for target in self._choose_targets(subjects):
                self._inject_into_target(name, target)

    def _inject_into_target(self, name: FaultName, target: str) -> None:
        standins = self._standins
        if name is FaultName.TARGET_CRASH:
            standins.crash_target(target)
        elif name is FaultName.TARGET_LEAVING:
            standins.leave_target(target)
        else:
            address = standins.targets[target].settings.address
            standins.listener.silence(address)

    def _choose_targets(self, subjects: frozenset[str]) -> list[str]:
        known = sorted(self._standins.targets)
        unknown = subjects.difference(known)
        if unknown:
            raise FaultRejectedError(f'unknown targets: {sorted(unknown)}')
        if subjects:
            return sorted(subjects)
        return [self._standins.generator.choice(known)]

    def _pause_processes(
        self,
        subjects: frozenset[str],
        document: FaultDocument,
    ) -> None:
        if self._pause_hook is None:
            raise FaultRejectedError('pausing processes is not supported here')
        for subject in subjects or ('',):
            self._pause_hook(
                subject, document.get('duration_s', _DEFAULT_PAUSE_S)
            )

    def _start_partition(self, subjects: frozenset[str]) -> None:
        self._partitions.append(subjects)
        self._block(subjects)

    def _block(self, subjects: frozenset[str]) -> None:
        """Isolate one data centre from the others, or several mutually."""
        groups = {
            target.settings.data_centre
            for target in self._standins.targets.values()
        }
        others = groups if len(subjects) == 1 else subjects
        for first in subjects:
            for second in others.difference((first,)):
                if not self._standins.listener.block(first, second):
                    raise FaultRejectedError(
                        'partitions are not supported on TCP ports'
                    )

    async def _switch_off_later(self, end_number: str) -> None:
        document = self._scheduled_ends.pop(end_number)
        await self._clock.sleep(document.get('duration_s', 0))
        self._switch_off(_parse_name(document['name']), document)

    def _switch_off(self, name: FaultName, document: FaultDocument) -> None:
        self._standins.faults.switch_off(name)
        if name is FaultName.STORE_COPY:
            self._standins.store.come_back()
        if name is FaultName.PARTITION:
            subjects = frozenset(document.get('subjects', ()))
            if subjects in self._partitions:
                self._partitions.remove(subjects)
            self._standins.listener.heal()
            for remaining in self._partitions:
                self._block(remaining)


_INSTANT_FAULTS = frozenset(
    (
        FaultName.TARGET_CRASH,
        FaultName.TARGET_LEAVING,
        FaultName.SILENT_CONNECTIONS,
        FaultName.PAUSED_PROCESS,
    ),
)


def draw_schedule(
    generator: random.Random,
    duration_s: float,
    count: int,
    targets: Sequence[str],
    data_centres: Sequence[str],
    ranges: Sequence[FaultRange] = DEFAULT_RANGES,
) -> list[TimedFault]:
    """Return ``count`` faults that start at random times in ``duration_s``."""
    schedule = []
    for index in range(count):
        # Round robin, so that the schedule contains every fault before it
        # repeats one.
        fault_range = ranges[index % len(ranges)]
        document = FaultDocument(
            name=fault_range.name.value,
            probability=fault_range.probability,
            delay_s=fault_range.delay_s,
            duration_s=generator.uniform(*fault_range.duration_s),
        )
        if fault_range.needs_target:
            document['subjects'] = [generator.choice(targets)]
        elif fault_range.name is FaultName.PARTITION:
            document['subjects'] = [generator.choice(data_centres)]
        schedule.append(TimedFault(generator.uniform(0, duration_s), document))
    return sorted(schedule, key=lambda entry: entry.at_s)


def _parse_name(text: str) -> FaultName:
    try:
        return FaultName(text)
    except ValueError as error:
        raise FaultRejectedError(f'unknown fault {text}') from error
