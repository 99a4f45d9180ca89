"""Check the limits of section 1.5 of the design at a small size."""

from cassiarail.core.loops import run_virtual
from cassiarail.membership.measure import (
    BYTES_LIMIT,
    PROPAGATION_LIMIT_S,
    MembershipBenchmark,
)


def test_bytes_and_latencies_stay_within_the_limits():
    """A change to digests or polls must not exceed the limits of a node."""
    measured = run_virtual(MembershipBenchmark(9, 27, 100).run, 1)
    assert measured['worst_total_bytes'] <= BYTES_LIMIT
    assert measured['leaving_s'] <= PROPAGATION_LIMIT_S
    assert 0 < measured['configuration_s'] <= PROPAGATION_LIMIT_S
