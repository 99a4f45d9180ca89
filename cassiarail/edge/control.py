"""Build what a host needs to give orders and to speak with other hosts."""

import random
from collections.abc import Callable
from typing import NamedTuple

from prometheus_client import CollectorRegistry

from cassiarail.conf.edge import EdgeSettings
from cassiarail.conf.global_defaults import TARGET_CONNECT_TIMEOUT_S
from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.edge.broadcast import Broadcaster
from cassiarail.edge.configuration import CurrentConfiguration
from cassiarail.edge.demand import DemandMeter
from cassiarail.edge.dialect import Dialect
from cassiarail.edge.fleet_demand import FleetDemand
from cassiarail.edge.holder import HolderParts, OrderHolder
from cassiarail.edge.hosts import HostRegistry
from cassiarail.edge.ledger_feed import LedgerFeed
from cassiarail.edge.orders import (
    ORDER_TIMEOUT_S,
    LoadBudget,
    OrderGiver,
)
from cassiarail.edge.peers import PeerLink
from cassiarail.edge.presence import Presence, PresenceParts
from cassiarail.edge.suspects import CrashSuspects
from cassiarail.edge.targets import TargetDirectory
from cassiarail.edge.tenure import Tenure, TenureRules
from cassiarail.edge.traffic import PeerTraffic, TrafficRules
from cassiarail.edge.waiting import PlacementWaits
from cassiarail.http1.pool import Address, ConnectionPool, PoolRules
from cassiarail.routing.reach import ReachTracker
from cassiarail.store.backends.base import ObjectStore
from cassiarail.store.leases import ORDERS_LEASE, Lease
from cassiarail.store.writes import ConditionalWriter

_LEASE_S = 2.4
# A write of the lease is given up well before the lease lapses.
_WRITE_PATIENCE_S = 1.0


# Ledgers for the largest known fleet take 4 Mbit/s of the holder's link. A host
# whose link is narrower than this leaves giving orders to others, until a
# lapsed lease would have been taken by one of them.
_WIDE_LINK_MBPS = 100
_NARROW_PATIENCE_S = 3.0


class ControlBase(NamedTuple):
    """Hold what the control parts share with the forwarding path."""

    settings: EdgeSettings
    dialect: Dialect
    store: ObjectStore
    configuration: CurrentConfiguration
    directory: TargetDirectory
    reach: ReachTracker
    registry: CollectorRegistry


class ControlParts:
    """Own demand, presence, the lease and the order holder."""

    def __init__(
        self,
        base: ControlBase,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self.suspects = CrashSuspects(clock)
        self.traffic = PeerTraffic(
            clock,
            TrafficRules(base.settings['link_mbps']),
            base.registry,
        )
        # How long ago the store answered while the registry is followed, or
        # negative; set when the watches are made.
        self.store_contact_s: Callable[[], float] = lambda: -1
        self._base = base
        self._clock = clock
        self._generator = generator
        self._build_peers()
        self._build_holder()

    @property
    def components(self) -> tuple[Component, ...]:
        """Return the parts that run."""
        return (self.presence, self._hosts, self._tenure, self.holder)

    def _build_peers(self) -> None:
        clock = self._clock
        settings = self._base.settings
        self.meter = DemandMeter(clock)
        self._fleet_demand = FleetDemand(clock)
        self.waits = PlacementWaits(lambda: self.presence.report_soon())
        self._hosts = HostRegistry(
            self._base.store,
            (
                settings['name'],
                {
                    'address': settings['peers'],
                    'data_centre': settings['data_centre'],
                },
            ),
            lambda: self.holder.is_holder,
            clock,
            self._generator,
        )
        link = PeerLink(Address.parse(settings['peers']), self.traffic)
        self.feed = LedgerFeed(clock)
        self.presence = Presence(
            settings['name'],
            link,
            PresenceParts(
                self.meter,
                self._fleet_demand,
                self.suspects,
                self._base.directory,
                self.waits,
                Broadcaster(
                    link,
                    lambda: self._hosts.hosts,
                    self._generator,
                    clock,
                ),
                self.feed,
                lambda: self.store_contact_s(),
                lambda: len(list(self._hosts.hosts)),
                self.traffic,
            ),
            clock,
        )

    def _build_holder(self) -> None:
        clock = self._clock
        writer = ConditionalWriter(
            self._base.store,
            clock,
            self._generator,
            _WRITE_PATIENCE_S,
        )
        settings = self._base.settings
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
        self._tenure = Tenure(
            self.lease,
            clock,
            TenureRules(
                _LEASE_S,
                bounds['lease_s'] + ORDER_TIMEOUT_S,
                patience_s=_find_patience(settings['link_mbps']),
            ),
            self._generator.random,
            self._change_tenure,
        )
        self.holder = OrderHolder(
            HolderParts(
                self._tenure,
                OrderGiver(self.order_pool, self._base.dialect, clock),
                self._base.directory,
                self._base.configuration,
                self._fleet_demand,
                self._budget,
                self._base.reach,
                self.presence.report_soon,
            ),
            clock,
        )
        self.presence.tenure = self._tenure
        self.presence.holder = self.holder

    def _change_tenure(self, has_begun: bool) -> None:
        if has_begun:
            self._budget.begin(is_first=self._tenure.fence == 1)
            self.holder.begin()
            self.presence.begin_tenure()
        else:
            self.holder.end()
            self.presence.resign()


def _find_patience(link_mbps: float) -> float:
    """Return for how long a host leaves the lease to others."""
    return 0 if link_mbps >= _WIDE_LINK_MBPS else _NARROW_PATIENCE_S
