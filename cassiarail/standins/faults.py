"""Switch faults of the external systems on and off by name."""

import enum
import random
from typing import NamedTuple

from cassiarail.core.events import emit_event
from cassiarail.standins.events import FAULT_SWITCHED_OFF, FAULT_SWITCHED_ON


class FaultName(enum.Enum):
    """Enumerate the faults that the stand-ins can produce."""

    TARGET_CRASH = 'target_crash'
    POISON_REQUEST = 'poison_request'
    SILENT_CONNECTIONS = 'silent_connections'
    LOST_ORDERS = 'lost_orders'
    LATE_ORDERS = 'late_orders'
    STORE_OUTAGE = 'store_outage'
    SLOW_STORE = 'slow_store'
    STORE_ANSWER_LOST = 'store_answer_lost'
    STORE_COPY = 'store_copy'
    HOST_LIST_LAG = 'host_list_lag'
    PARTITION = 'partition'
    TARGET_LEAVING = 'target_leaving'
    PAUSED_PROCESS = 'paused_process'
    SERVICE_ANSWER_LOST = 'service_answer_lost'
    SLOW_WEIGHTS = 'slow_weights'
    # Deliberate violations; tests use them to prove that the audit finds them.
    SERVICE_RUNS_TWICE = 'service_runs_twice'
    LEDGER_SKIPPED = 'ledger_skipped'


class Fault(NamedTuple):
    """Hold the settings of an active fault.

    ``delay_s`` is the delay or lag that the fault causes; ``subjects`` are the
    names that it applies to, or all names if empty.
    """

    probability: float = 1
    delay_s: float = 0
    subjects: frozenset[str] = frozenset()


class ActiveFaults:
    """Hold the faults that are currently switched on."""

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
        """Return whether a fault is on and applies to a subject."""
        fault = self._active.get(name)
        if fault is None:
            return False
        return not fault.subjects or subject in fault.subjects

    def should_trigger(self, name: FaultName, subject: str = '') -> bool:
        """Decide at random, by its probability, whether a fault occurs now."""
        if not self.is_on(name, subject):
            return False
        return self._generator.random() < self._active[name].probability

    def get_delay_s(self, name: FaultName, subject: str = '') -> float:
        """Return the delay of a fault in seconds; 0 if it is off."""
        if not self.is_on(name, subject):
            return 0
        return self._active[name].delay_s

    def list_active(self) -> list[str]:
        """Return the names of the faults that are on."""
        return sorted(name.value for name in self._active)
