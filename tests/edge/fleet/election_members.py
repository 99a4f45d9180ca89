"""Run the elections of hosts on one store, with a clock of the test."""

import random

from hypothesis import strategies as st

from cassiarail.edge.engines.orders import ORDER_TIMEOUT_S
from cassiarail.edge.fleet.election import ElectionRules, LeaderElection
from cassiarail.store.leases import Lease
from cassiarail.store.writes import ConditionalWriter

ORDER_GAP_S = 3.0
ROUNDING_S = 1e-6
RULES = ElectionRules(lease_s=2.4, order_gap_s=ORDER_GAP_S + ORDER_TIMEOUT_S)
HOSTS = 3
host_indexes = st.integers(0, HOSTS - 1)


class Member:
    """Run a host's leader election with its own lease client."""

    def __init__(self, name, clock, store, process=0, rules=RULES):
        generator = random.Random(f'{name}{process}')
        self.lease = Lease(
            ConditionalWriter(store, clock, generator, 1),
            'orders',
            name,
            clock,
            generator,
            RULES.lease_s,
            may_retake=True,
        )
        self.changes = []
        self.election = LeaderElection(
            self.lease, clock, rules, lambda: 0.5, self.changes.append
        )
