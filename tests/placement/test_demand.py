"""Guard against forecasts that lag or count removed gateways."""

import pytest

from cassiarail.core.clock import ManualClock
from cassiarail.placement.demand import DemandTracker


def _run(clock, tracker, levels):
    for level in levels:
        tracker.report('gateway-1', {'audit': level})
        tracker.update()
        clock.advance(1)


def test_forecast_follows_a_tenfold_rise_within_a_minute():
    clock = ManualClock()
    tracker = DemandTracker(clock)
    _run(clock, tracker, [2] * 60)
    _run(clock, tracker, [20] * 60)
    assert tracker.forecast('audit').demand == pytest.approx(20, rel=0.3)


def test_steady_demand_has_no_variance():
    clock = ManualClock()
    tracker = DemandTracker(clock)
    _run(clock, tracker, [4] * 300)
    assert tracker.forecast('audit').variance == pytest.approx(0, abs=1e-6)


def test_demand_of_a_removed_gateway_expires():
    """Otherwise its last report would keep replicas loaded for ever."""
    clock = ManualClock()
    tracker = DemandTracker(clock)
    _run(clock, tracker, [4] * 10)
    for _ in range(300):
        tracker.update()
        clock.advance(1)
    assert tracker.forecast('audit').demand < 0.5
