"""Switch faults of the outside systems on and off by name."""

import enum
import random
from typing import NamedTuple

from cassiarail.core.events import emit_event
from cassiarail.standins.events import FAULT_SWITCHED_OFF, FAULT_SWITCHED_ON


class FaultName(enum.Enum):
    """Name the faults that the stand-ins can produce."""

    TARGET_CRASH = 'target_crash'
    POISON_REQUEST = 'poison_request'
    SILENT_CONNECTIONS = 'silent_connections'
    LOST_ORDERS = 'lost_orders'
    LATE_ORDERS = 'late_orders'
    STORE_OUTAGE = 'store_outage'
    SLOW_STORE = 'slow_store'
    STORE_ANSWER_LOST = 'store_answer_lost'
    HOST_LIST_LAG = 'host_list_lag'
    PARTITION = 'partition'
    TARGET_LEAVING = 'target_leaving'
    PAUSED_PROCESS = 'paused_process'
    SERVICE_ANSWER_LOST = 'service_answer_lost'
    SLOW_WEIGHTS = 'slow_weights'
    # Deliberate breakages, with which a test proves that the audit sees them.
    SERVICE_RUNS_TWICE = 'service_runs_twice'
    LEDGER_SKIPPED = 'ledger_skipped'


class Fault(NamedTuple):
    """Hold the settings of a fault that is on.

    ``delay_s`` is the delay or the lag that the fault causes; ``subjects``
    are the names that it applies to, all if empty.
    """

    probability: float = 1
    delay_s: float = 0
    subjects: frozenset[str] = frozenset()


class Faults:
    """Hold the faults that are on at present."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._active: dict[FaultName, Fault] = {}

    def switch_on(self, name: FaultName, fault: Fault | None = None) -> None:
        """Switch a fault on, or change its settings."""
        self._active[name] = fault or Fault()
        emit_event(FAULT_SWITCHED_ON, fault=name.value)

    def switch_off(self, name: FaultName) -> None:
        """Switch a fault off."""
        if self._active.pop(name, None) is not None:
            emit_event(FAULT_SWITCHED_OFF, fault=name.value)

    def is_on(self, name: FaultName, subject: str = '') -> bool:
        """Tell whether a fault applies to a subject."""
        fault = self._active.get(name)
        if fault is None:
            return False
        return not fault.subjects or subject in fault.subjects

    def draw(self, name: FaultName, subject: str = '') -> bool:
        """Decide by its probability whether a fault strikes now."""
        if not self.is_on(name, subject):
            return False
        return self._generator.random() < self._active[name].probability

    def delay_of(self, name: FaultName, subject: str = '') -> float:
        """Return the delay in seconds that a fault causes; 0 if it is off."""
        if not self.is_on(name, subject):
            return 0
        return self._active[name].delay_s

    def list_active(self) -> list[str]:
        """Return the names of the faults that are on."""
        return sorted(name.value for name in self._active)
