"""Apply faults by name, at once or by a schedule drawn from a seed."""

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
# Longer than a lease, so that a paused holder wakes after its lease expired.
_PAUSE_S = 12
_OFTEN = 0.3
_LONG_LAG_S = 20


class FaultRejectedError(CassiarailError):
    """Report a fault that is unknown or that cannot be produced here."""

    error_id = 'CR1060'
    code = 'fault_rejected'
    status = 400


class TimedFault(NamedTuple):
    """Describe a fault that begins some seconds after the start."""

    at_s: float
    document: FaultDocument


class FaultRange(NamedTuple):
    """Hold the ranges in seconds from which a schedule draws."""

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
    FaultRange(FaultName.STORE_ANSWER_LOST, (5, 20), probability=_OFTEN),
    FaultRange(FaultName.HOST_LIST_LAG, (10, 30), delay_s=_LONG_LAG_S),
    FaultRange(FaultName.SERVICE_ANSWER_LOST, (5, 20), probability=_OFTEN),
    FaultRange(FaultName.SLOW_WEIGHTS, (5, 20), delay_s=3),
    FaultRange(FaultName.PARTITION, (5, 20)),
    FaultRange(FaultName.PAUSED_PROCESS),
)


class FaultInjector:
    """Apply faults to the stand-ins of a deployment."""

    def __init__(
        self,
        standins: Standins,
        clock: Clock,
        pause: PauseHook | None = None,
    ) -> None:
        """Take the hook that pauses a process of the system for seconds."""
        self._standins = standins
        self._clock = clock
        self._pause = pause
        self._partitions: list[frozenset[str]] = []
        self._ends: dict[str, FaultDocument] = {}
        self._numbers = itertools.count()

    def apply(self, document: FaultDocument) -> None:
        """Switch a fault on or off; ``duration_s`` ends it by itself.

        Raises ``FaultRejectedError`` if the fault is unknown or impossible.
        """
        name = _read_name(document['name'])
        if document.get('on', True):
            self._switch_on(name, document)
        else:
            self._switch_off(name, document)

    async def run_schedule(self, schedule: Sequence[TimedFault]) -> None:
        """Apply faults at their times after now."""
        started_at = self._clock.monotonic()
        for timed in sorted(schedule, key=lambda entry: entry.at_s):
            passed = self._clock.monotonic() - started_at
            await self._clock.sleep(max(0, timed.at_s - passed))
            self.apply(timed.document)

    def _switch_on(self, name: FaultName, document: FaultDocument) -> None:
        subjects = frozenset(document.get('subjects', ()))
        self._act(name, subjects, document)
        self._standins.faults.switch_on(
            name,
            Fault(
                document.get('probability', 1),
                document.get('delay_s', 0),
                subjects,
            ),
        )
        if name in _MOMENTARY:
            self._standins.faults.switch_off(name)
        elif document.get('duration_s'):
            number = str(next(self._numbers))
            self._ends[number] = document
            self._standins.spawn(self._end_later, number)

    def _act(
        self,
        name: FaultName,
        subjects: frozenset[str],
        document: FaultDocument,
    ) -> None:
        if name is FaultName.PARTITION:
            self._begin_partition(subjects)
        elif name is FaultName.PAUSED_PROCESS:
            self._pause_processes(subjects, document)
        elif name in _MOMENTARY:
            for target in self._choose_targets(subjects):
                self._strike(name, target)

    def _strike(self, name: FaultName, target: str) -> None:
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
        if self._pause is None:
            raise FaultRejectedError('no process can be paused here')
        for subject in subjects or ('',):
            self._pause(subject, document.get('duration_s', _PAUSE_S))

    def _begin_partition(self, subjects: frozenset[str]) -> None:
        self._partitions.append(subjects)
        self._block(subjects)

    def _block(self, subjects: frozenset[str]) -> None:
        """Separate one data centre from all others, or several mutually."""
        groups = {
            target.settings.data_centre
            for target in self._standins.targets.values()
        }
        others = groups if len(subjects) == 1 else subjects
        for first in subjects:
            for second in others.difference((first,)):
                if not self._standins.listener.block(first, second):
                    raise FaultRejectedError('no partitions on TCP ports')

    async def _end_later(self, number: str) -> None:
        document = self._ends.pop(number)
        await self._clock.sleep(document.get('duration_s', 0))
        self._switch_off(_read_name(document['name']), document)

    def _switch_off(self, name: FaultName, document: FaultDocument) -> None:
        self._standins.faults.switch_off(name)
        if name is FaultName.PARTITION:
            subjects = frozenset(document.get('subjects', ()))
            if subjects in self._partitions:
                self._partitions.remove(subjects)
            self._standins.listener.heal()
            for remaining in self._partitions:
                self._block(remaining)


_MOMENTARY = frozenset(
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
    """Return faults at random times; all have begun before the end."""
    schedule = []
    for place in range(count):
        # Every kind occurs before any occurs twice.
        chosen = ranges[place % len(ranges)]
        document = FaultDocument(
            name=chosen.name.value,
            probability=chosen.probability,
            delay_s=chosen.delay_s,
            duration_s=generator.uniform(*chosen.duration_s),
        )
        if chosen.needs_target:
            document['subjects'] = [generator.choice(targets)]
        elif chosen.name is FaultName.PARTITION:
            document['subjects'] = [generator.choice(data_centres)]
        schedule.append(TimedFault(generator.uniform(0, duration_s), document))
    return sorted(schedule, key=lambda entry: entry.at_s)


def _read_name(text: str) -> FaultName:
    try:
        return FaultName(text)
    except ValueError as error:
        raise FaultRejectedError(f'unknown fault {text}') from error
