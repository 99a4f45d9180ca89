"""Run state machines with fresh seeds, started by hand.

The tests run each of them short and always with the same steps.
"""

import argparse
import random

import hypothesis
from absl import logging
from hypothesis.stateful import run_state_machine_as_test

from tests.edge.fleet.test_election import ElectionMachine
from tests.edge.fleet.test_state_update_machine import UpdateMachine
from tests.edge.registry.test_availability_machine import AvailabilityMachine
from tests.edge.requests.test_request_faults import any_request, check_request
from tests.http1.test_connection_machine import ConnectionMachine
from tests.limits.test_attribution_machine import AttributionMachine
from tests.limits.test_byte_budget import BudgetMachine
from tests.limits.test_quota_machine import QuotaMachine
from tests.placement.test_memory_machine import MemoryMachine

_MACHINES = (
    UpdateMachine,
    ElectionMachine,
    AvailabilityMachine,
    AttributionMachine,
    MemoryMachine,
    BudgetMachine,
    QuotaMachine,
    ConnectionMachine,
)


def main():
    """Run every machine once; raise the failure of the first that fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=random.getrandbits(32))
    parser.add_argument('--examples', type=int, default=2000)
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    settings = hypothesis.settings(
        max_examples=options.examples,
        stateful_step_count=60,
        derandomize=False,
        deadline=None,
        database=None,
    )
    print(f'one request seed {options.seed}', flush=True)
    hypothesis.seed(options.seed)(settings(any_request(check_request)))()
    for machine in _MACHINES:
        print(f'{machine.__name__} seed {options.seed}', flush=True)
        seeded = hypothesis.seed(options.seed)(machine)
        run_state_machine_as_test(seeded, settings=settings)


if __name__ == '__main__':
    main()
