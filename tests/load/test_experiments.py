"""Guard against irreproducible experiments and ineffective limits."""

import pytest

from cassiarail.load.experiments import (
    CAPACITY,
    measure_overload,
    measure_routing,
)


def test_runs_are_reproducible():
    first = measure_routing(7, 8.0, 'affinity')
    assert first == measure_routing(7, 8.0, 'affinity')
    assert 0 < first['prefix_hit_share'] < 1


@pytest.mark.parametrize('seed', [3, 4])
def test_tenfold_load_does_not_reduce_the_on_time_rate(seed):
    # Overload must not occupy engines with responses that arrive too late.
    at_capacity = measure_overload(seed, 1.0, with_limits=True)
    tenfold = measure_overload(seed, 10.0, with_limits=True)
    assert tenfold['on_time_per_second'] >= at_capacity['on_time_per_second']
    assert tenfold['offered_per_second'] > 9 * CAPACITY
