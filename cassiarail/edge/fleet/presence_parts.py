"""Define the collaborators of the exchange with other hosts."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from cassiarail.edge.crashes.exchange import CrashExchange
from cassiarail.edge.fleet.broadcast import Broadcaster, Host
from cassiarail.edge.fleet.configuration_copies import ConfigurationCopies
from cassiarail.edge.fleet.demand import DemandMeter
from cassiarail.edge.fleet.fleet_demand import FleetDemand
from cassiarail.edge.fleet.load_exchange import LoadExchange
from cassiarail.edge.fleet.state_updates import StateUpdateReceiver
from cassiarail.edge.fleet.traffic import PeerTraffic
from cassiarail.edge.registry.targets import TargetDirectory
from cassiarail.edge.requests.suspects import CrashSuspects
from cassiarail.edge.requests.waiting import PlacementWaits


class PresenceParts(NamedTuple):
    """Hold the collaborators of the exchange with other hosts.

    ``store_contact_s`` returns the age of what this host knows of the store,
    or a negative number if nothing has been listed yet.
    """

    meter: DemandMeter
    fleet_demand: FleetDemand
    suspects: CrashSuspects
    crash_exchange: CrashExchange
    directory: TargetDirectory
    waits: PlacementWaits
    broadcaster: Broadcaster
    receiver: StateUpdateReceiver
    store_contact_s: Callable[[], float]
    list_hosts: Callable[[], Iterable[Host]]
    traffic: PeerTraffic
    configurations: ConfigurationCopies
    loads: LoadExchange
