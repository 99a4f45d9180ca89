"""Guard the limits of loads and the order of adapters and models."""

from cassiarail.control.executor import KeySize
from cassiarail.control.rates import LoadRate, share_limits
from cassiarail.core.clock import ManualClock
from cassiarail.placement.backends.base import HoldingKey
from tests.control.engines import EngineModel
from tests.control.machine import SIZES, MoveKind, World
from tests.control.test_ledger import do

MODEL = HoldingKey('a', 'v1')
ADAPTERS = tuple(HoldingKey('a', 'v1', f'x{index}') for index in range(12))


def test_shares_add_up_to_the_limits():
    """Rounding up in each data centre would exceed the platform's limits."""
    names = ['bex', 'schweizerhalle', 'riburg']
    limits = {
        'weight_loads_per_second': 2,
        'weight_loads_at_once': 7,
        'adapter_loads_in_flight': 55,
    }
    shares = [share_limits(limits, names, name) for name in names]
    assert [share.weight_loads_at_once for share in shares] == [3, 2, 2]
    assert sum(share.adapter_loads_in_flight for share in shares) == 55
    assert sum(share.weight_loads_per_second for share in shares) <= 2.0


def test_idle_time_does_not_allow_a_burst_of_loads():
    """Unused loads must not be saved up and then exceed the rate."""
    clock = ManualClock()
    rate = LoadRate(2, clock)
    assert not rate.try_take()
    clock.advance(60)
    assert [rate.try_take() for _turn in range(3)] == [True, False, False]


def test_adapters_wait_for_their_model_and_for_the_limit(monkeypatch):
    """An adapter without its model fails, and too many slow down all."""
    for key in ADAPTERS:
        monkeypatch.setitem(SIZES, key, KeySize(1))
    engine = EngineModel('t1', 100, True)
    world = World([engine])
    controller = world.controllers[0]
    do(controller, controller.compete())
    do(controller, controller.take_over())
    do(controller, controller.refresh('t1'))
    do(controller, controller.move(MoveKind.LOAD_ADAPTER, 't1', ADAPTERS[0]))
    assert not engine.orders
    world.clock.advance(0.1)
    do(controller, controller.move(MoveKind.LOAD_MODEL, 't1', MODEL))
    engine.finish()
    do(controller, controller.refresh('t1'))
    for key in ADAPTERS:
        do(controller, controller.move(MoveKind.LOAD_ADAPTER, 't1', key))
    # The model's order and the ten adapters that may be in flight at once.
    assert len(engine.orders) == 11
