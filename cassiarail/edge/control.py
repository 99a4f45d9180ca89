"""Build the components for leadership, orders and host-to-host traffic."""

import random
from collections.abc import Callable

from cassiarail.conf.global_defaults import TARGET_CONNECT_TIMEOUT_S
from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.edge.crashes.parts import CrashParts
from cassiarail.edge.dependencies import ControlDependencies
from cassiarail.edge.engines.leader import LeaderParts, PlacementLeader
from cassiarail.edge.engines.orders import (
    ORDER_TIMEOUT_S,
    LoadBudget,
    OrderSender,
)
from cassiarail.edge.fleet.broadcast import Broadcaster
from cassiarail.edge.fleet.demand import DemandMeter
from cassiarail.edge.fleet.election import ElectionRules, LeaderElection
from cassiarail.edge.fleet.fleet_demand import FleetDemand
from cassiarail.edge.fleet.hosts import HostRegistry
from cassiarail.edge.fleet.peers import PeerLink
from cassiarail.edge.fleet.presence import Presence
from cassiarail.edge.fleet.presence_parts import PresenceParts
from cassiarail.edge.fleet.state_updates import StateUpdateReceiver
from cassiarail.edge.fleet.traffic import PeerTraffic, TrafficRules
from cassiarail.edge.registry.availability import TargetAvailability
from cassiarail.edge.requests.suspects import CrashSuspects
from cassiarail.edge.requests.waiting import PlacementWaits
from cassiarail.http1.pool import Address, ConnectionPool, PoolRules
from cassiarail.routing.holds import TargetHolds
from cassiarail.store.leases import ORDERS_LEASE, Lease, is_first_fence
from cassiarail.store.writes import ConditionalWriter

_LEASE_S = 2.4
# A write of the lease times out well before the lease expires.
_WRITE_TIMEOUT_S = 1.0
# State updates for the largest known fleet use 4 Mbit/s of the leader's link. A
# host whose link is slower than this rate waits before it competes for the
# lease, so that another host can acquire an expired lease first.
_MIN_LEADER_LINK_MBPS = 100
_NARROW_LINK_DELAY_S = 3.0
# Number of hosts until they are counted.
_DEFAULT_HOST_COUNT = 16


class ControlParts:
    """Own demand, presence, the lease and the placement leader."""

    def __init__(
        self,
        dependencies: ControlDependencies,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self.suspects = CrashSuspects(clock)
        self.traffic = PeerTraffic(
            clock,
            TrafficRules(dependencies.settings['link_mbps']),
            dependencies.registry,
        )
        # Age of what this host knows of the store, or negative; set when the
        # watches are built.
        self.availability = TargetAvailability(
            dependencies.directory,
            TargetHolds(clock, generator),
            self._on_leaving,
        )
        self.store_contact_s: Callable[[], float] = lambda: -1
        self.on_term_start: Callable[[], None] = lambda: None
        self.is_stopping: Callable[[], bool] = bool
        self._dependencies = dependencies
        self._clock = clock
        self._generator = generator
        self._build_peers()
        self._build_leader()

    @property
    def components(self) -> tuple[Component, ...]:
        """Return the components to run."""
        placement = (self._hosts, self._election, self.leader)
        return (
            self.presence,
            self.crashes.exchange,
            self.crashes.keeper,
            *placement,
        )

    def count_hosts(self) -> int:
        """Return the number of hosts, or an estimate until they are known."""
        return self.presence.host_count or _DEFAULT_HOST_COUNT

    def is_leader(self) -> bool:
        """Return whether this host is leader."""
        return self.leader.is_leader

    def _build_peers(self) -> None:
        clock = self._clock
        settings = self._dependencies.settings
        self.demand_meter = DemandMeter(clock)
        self._fleet_demand = FleetDemand(clock)
        self.waits = PlacementWaits(lambda: self.presence.report_soon())
        self._hosts = HostRegistry(
            self._dependencies.store,
            (
                settings['name'],
                {
                    'address': settings['peers'],
                    'data_centre': settings['data_centre'],
                },
            ),
            self.is_leader,
            clock,
            self._generator,
        )
        link = PeerLink(Address.parse(settings['peers']), self.traffic)
        self.update_receiver = StateUpdateReceiver(clock)
        self.crashes = CrashParts(
            settings['name'],
            link,
            self._dependencies.store,
            self.is_leader,
            clock,
            self._generator,
        )
        self.presence = Presence(
            settings['name'],
            link,
            PresenceParts(
                self.demand_meter,
                self._fleet_demand,
                self.suspects,
                self.crashes.exchange,
                self._dependencies.directory,
                self.waits,
                Broadcaster(
                    link,
                    lambda: self._hosts.hosts,
                    self._generator,
                    clock,
                ),
                self.update_receiver,
                lambda: self.store_contact_s(),
                self._hosts.list_current,
                self.traffic,
                self._dependencies.copies,
                self._dependencies.loads,
            ),
            clock,
        )

    def _build_leader(self) -> None:
        clock = self._clock
        writer = ConditionalWriter(
            self._dependencies.store,
            clock,
            self._generator,
            _WRITE_TIMEOUT_S,
        )
        settings = self._dependencies.settings
        bounds = settings['bounds']
        self._budget = LoadBudget(clock, bounds['loads_window_s'])
        self.order_pool = ConnectionPool(PoolRules(TARGET_CONNECT_TIMEOUT_S))
        self.lease = Lease(
            writer,
            ORDERS_LEASE,
            f'{settings["name"]}@{settings["peers"]}',
            clock,
            self._generator,
            _LEASE_S,
            may_retake=True,
        )
        self._election = LeaderElection(
            self.lease,
            clock,
            ElectionRules(
                _LEASE_S,
                bounds['lease_s'] + ORDER_TIMEOUT_S,
                acquire_delay_s=_compute_election_delay_s(
                    settings['link_mbps']
                ),
            ),
            self._generator.random,
            self._on_leadership_change,
            self._may_compete,
        )
        self.leader = PlacementLeader(
            LeaderParts(
                self._election,
                OrderSender(
                    self.order_pool,
                    self._dependencies.dialect,
                    clock,
                    self.availability,
                ),
                self._dependencies.directory,
                self._dependencies.configuration,
                self._fleet_demand,
                self._budget,
                self._dependencies.reachability,
                self.presence.report_soon,
            ),
            clock,
        )
        era = self._dependencies.store.era
        era.listeners.append(self._election.renew_soon)
        self.presence.observe_era = lambda number: era.observe(number, 'peer')
        self.presence.election = self._election
        self.presence.leader = self.leader

    def _on_leaving(self) -> None:
        self.presence.on_directory_change()
        self.presence.report_soon()

    def _may_compete(self) -> bool:
        """Return whether this host may become leader if it is not."""
        breaker = self._dependencies.store.breaker
        return not (breaker.is_open or self.is_stopping())

    def _on_leadership_change(self, is_leader: bool) -> None:
        if is_leader:
            self._budget.begin(is_first=is_first_fence(self._election.fence))
            self.leader.begin()
            self.presence.begin_term()
            self.on_term_start()
        else:
            self.leader.end()
            self.presence.resign()


def _compute_election_delay_s(link_mbps: float) -> float:
    """Return the delay before a host competes for the lease."""
    return 0 if link_mbps >= _MIN_LEADER_LINK_MBPS else _NARROW_LINK_DELAY_S
