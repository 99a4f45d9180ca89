"""Guard ledger rules that the state machines rarely exercise."""

import pytest

from cassiarail.control.ledger import (
    create_ledger,
    record_send,
    reserve,
    sum_charges,
)
from cassiarail.core.exceptions import (
    ControlError,
    OvercommittedMemoryError,
    VersionConflictError,
)
from tests.control.engines import FakeEngine
from tests.control.machine import KEYS, MoveKind, Simulation


def make_simulation():
    engines = [FakeEngine(name, 100, True) for name in ('t1', 't2')]
    simulation = Simulation(engines)
    controller = simulation.controllers[0]
    run_operation(controller, controller.compete())
    run_operation(controller, controller.take_over())
    for name in simulation.engines:
        run_operation(controller, controller.refresh(name))
        simulation.clock.advance(0.1)
        run_operation(
            controller, controller.move(MoveKind.LOAD_MODEL, name, KEYS[0])
        )
        simulation.engines[name].finish()
        run_operation(controller, controller.refresh(name))
    return simulation, controller


def run_operation(controller, operation):
    controller.begin(operation)
    controller.finish()


def test_entries_are_rounded_to_the_accelerators():
    """A remainder of an even split would overcommit one accelerator."""
    simulation, _controller = make_simulation()
    ledger = {**create_ledger(simulation.specs['t1'], 1), 'instance': 'i'}
    ledger = reserve(ledger, KEYS[0], 39, 2)
    assert sum_charges(ledger) == 44
    with pytest.raises(OvercommittedMemoryError):
        reserve(ledger, KEYS[1], 57)
    assert sum_charges(reserve(ledger, KEYS[1], 56)) == 100


def test_no_reservation_before_the_first_report():
    """A target taken over may hold models that the ledger doesn't list."""
    simulation, _controller = make_simulation()
    with pytest.raises(ControlError):
        reserve(create_ledger(simulation.specs['t1'], 1), KEYS[0], 1)


def test_no_load_of_a_key_whose_unload_may_still_arrive():
    """The late unload would remove the copy that was just loaded."""
    simulation, _controller = make_simulation()
    ledger = {**create_ledger(simulation.specs['t1'], 1), 'instance': 'i'}
    send = {
        'order_id': 'u',
        'kind': 'unload_model',
        'key': '|'.join(KEYS[0]),
        'fence': 1,
        'instance': 'i',
    }
    with pytest.raises(ControlError):
        reserve(record_send(ledger, send), KEYS[0], 1)


def test_smaller_declared_capacity_stops_reservations_only():
    """A smaller declaration must not overcommit reserved memory."""
    simulation, controller = make_simulation()
    simulation.clock.advance(0.1)
    spec = simulation.specs['t1']
    simulation.specs['t1'] = spec._replace(accelerator_memory_bytes=5)
    run_operation(controller, controller.take_over())
    ledger = controller.term.ledgers.get('t1')
    assert ledger['capacity_bytes'] == sum_charges(ledger) == 44
    with pytest.raises(OvercommittedMemoryError):
        reserve(ledger, KEYS[3], 1)
    simulation.specs['t1'] = spec
    run_operation(controller, controller.take_over())
    assert controller.term.ledgers.get('t1')['capacity_bytes'] == 100


def test_report_from_before_a_write_does_not_change_the_ledger():
    """An older report would release a key reserved after it."""
    simulation, controller = make_simulation()
    simulation.clock.advance(0.1)
    ledgers = controller.term.ledgers
    version = ledgers.version('t1')
    key = KEYS[3]
    run_operation(controller, controller.move(MoveKind.LOAD_MODEL, 't1', key))
    assert ledgers.version('t1') != version
    with pytest.raises(VersionConflictError):
        ledgers.change('t1', lambda ledger: ledger, version).send(None)


@pytest.mark.parametrize('steps', [0, 1, 2])
def test_old_report_of_another_copy_does_not_allow_an_unload(steps):
    """The other target may have restarted since, also during a pause."""
    simulation, controller = make_simulation()
    if steps == 0:
        simulation.clock.advance(6)
        run_operation(controller, controller.refresh('t1'))
    controller.begin(controller.move(MoveKind.UNLOAD_MODEL, 't1', KEYS[0]))
    for _step in range(steps):
        controller.step()
    if steps:
        simulation.clock.advance(6)
    simulation.engines['t2'].restart()
    controller.finish()
    simulation.engines['t1'].finish()
    assert KEYS[0] in simulation.engines['t1'].held
    run_operation(controller, controller.refresh('t1'))
    assert controller.term.inventory.is_ready('t1', KEYS[0])
