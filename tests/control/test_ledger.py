"""Guard single rules of the ledger that the machines reach too seldom."""

import pytest

from cassiarail.control.ledger import (
    open_ledger,
    record_send,
    reserve,
    sum_charges,
)
from cassiarail.core.exceptions import (
    ControlError,
    OverpromisedMemoryError,
    VersionConflictError,
)
from tests.control.engines import EngineModel
from tests.control.machine import KEYS, MoveKind, World


def make_world():
    engines = [EngineModel(name, 100, True) for name in ('t1', 't2')]
    world = World(engines)
    controller = world.controllers[0]
    do(controller, controller.compete())
    do(controller, controller.take_over())
    for name in world.engines:
        do(controller, controller.refresh(name))
        world.clock.advance(0.1)
        do(controller, controller.move(MoveKind.LOAD_MODEL, name, KEYS[0]))
        world.engines[name].finish()
        do(controller, controller.refresh(name))
    return world, controller


def do(controller, operation):
    controller.begin(operation)
    controller.finish()


def test_entries_are_rounded_to_the_accelerators():
    """A remainder of an even split would overcommit one accelerator."""
    world, _controller = make_world()
    ledger = {**open_ledger(world.shapes['t1'], 1), 'instance': 'i'}
    ledger = reserve(ledger, KEYS[0], 39, 2)
    assert sum_charges(ledger) == 44
    with pytest.raises(OverpromisedMemoryError):
        reserve(ledger, KEYS[1], 57)
    assert sum_charges(reserve(ledger, KEYS[1], 56)) == 100


def test_no_reservation_before_the_first_report():
    """An inherited target may hold models that the ledger doesn't know."""
    world, _controller = make_world()
    with pytest.raises(ControlError):
        reserve(open_ledger(world.shapes['t1'], 1), KEYS[0], 1)


def test_no_load_of_a_key_whose_unload_may_still_arrive():
    """The late unload would take away the copy that was just loaded."""
    world, _controller = make_world()
    ledger = {**open_ledger(world.shapes['t1'], 1), 'instance': 'i'}
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
    """A declaration must not turn promises into overcommitted memory."""
    world, controller = make_world()
    world.clock.advance(0.1)
    shape = world.shapes['t1']
    world.shapes['t1'] = shape._replace(accelerator_memory_bytes=5)
    do(controller, controller.take_over())
    ledger = controller.tenure.keeper.get('t1')
    assert ledger['capacity_bytes'] == sum_charges(ledger) == 44
    with pytest.raises(OverpromisedMemoryError):
        reserve(ledger, KEYS[3], 1)
    world.shapes['t1'] = shape
    do(controller, controller.take_over())
    assert controller.tenure.keeper.get('t1')['capacity_bytes'] == 100


def test_report_from_before_a_write_does_not_change_the_ledger():
    """An older report would release a key that was reserved since."""
    world, controller = make_world()
    world.clock.advance(0.1)
    keeper = controller.tenure.keeper
    version = keeper.version('t1')
    key = KEYS[3]
    do(controller, controller.move(MoveKind.LOAD_MODEL, 't1', key))
    assert keeper.version('t1') != version
    with pytest.raises(VersionConflictError):
        keeper.change('t1', lambda ledger: ledger, version).send(None)


@pytest.mark.parametrize('steps', [0, 1, 2])
def test_old_report_of_another_copy_does_not_allow_an_unload(steps):
    """The other target may have restarted since; a pause counts too."""
    world, controller = make_world()
    if steps == 0:
        world.clock.advance(6)
        do(controller, controller.refresh('t1'))
    controller.begin(controller.move(MoveKind.UNLOAD_MODEL, 't1', KEYS[0]))
    for _step in range(steps):
        controller.step()
    if steps:
        world.clock.advance(6)
    world.engines['t2'].restart()
    controller.finish()
    world.engines['t1'].finish()
    assert KEYS[0] in world.engines['t1'].held
    do(controller, controller.refresh('t1'))
    assert controller.tenure.inventory.is_ready('t1', KEYS[0])
