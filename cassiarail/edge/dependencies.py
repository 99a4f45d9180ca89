"""Define the objects that the parts of a process share."""

from typing import NamedTuple

from prometheus_client import CollectorRegistry

from cassiarail.conf.edge import EdgeSettings
from cassiarail.edge.dialect import Dialect
from cassiarail.edge.fleet.configuration_copies import ConfigurationCopies
from cassiarail.edge.fleet.load_exchange import LoadExchange
from cassiarail.edge.registry.configuration import CurrentConfiguration
from cassiarail.edge.registry.targets import TargetDirectory
from cassiarail.routing.reachability import ReachabilityTracker
from cassiarail.store.observed import ObservedStore


class ControlDependencies(NamedTuple):
    """Hold the objects that control shares with the forwarding path."""

    settings: EdgeSettings
    dialect: Dialect
    store: ObservedStore
    configuration: CurrentConfiguration
    copies: ConfigurationCopies
    loads: LoadExchange
    directory: TargetDirectory
    reachability: ReachabilityTracker
    registry: CollectorRegistry
