"""Guard load limits and the order of adapters and models."""

from cassiarail.control.executor import KeySize
from cassiarail.control.rates import LoadRateLimiter, share_limits
from cassiarail.core.clock import ManualClock
from cassiarail.placement.backends.base import HoldingKey
from tests.control.engines import FakeEngine
from tests.control.machine import SIZES, MoveKind, Simulation
from tests.control.test_ledger import run_operation

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
    """Unused loads must not accumulate and then exceed the rate."""
    clock = ManualClock()
    rate = LoadRateLimiter(2, clock)
    assert not rate.try_acquire()
    clock.advance(60)
    assert [rate.try_acquire() for _turn in range(3)] == [True, False, False]


def test_adapters_wait_for_their_model_and_for_the_limit(monkeypatch):
    """An adapter fails without its model, and too many slow all loads."""
    for key in ADAPTERS:
        monkeypatch.setitem(SIZES, key, KeySize(1))
    engine = FakeEngine('t1', 100, True)
    simulation = Simulation([engine])
    controller = simulation.controllers[0]
    run_operation(controller, controller.compete())
    run_operation(controller, controller.take_over())
    run_operation(controller, controller.refresh('t1'))
    run_operation(
        controller, controller.move(MoveKind.LOAD_ADAPTER, 't1', ADAPTERS[0])
    )
    assert not engine.orders
    simulation.clock.advance(0.1)
    run_operation(controller, controller.move(MoveKind.LOAD_MODEL, 't1', MODEL))
    engine.finish()
    run_operation(controller, controller.refresh('t1'))
    for key in ADAPTERS:
        run_operation(
            controller, controller.move(MoveKind.LOAD_ADAPTER, 't1', key)
        )
    # One order for the model and ten for the adapters allowed in flight.
    assert len(engine.orders) == 11
