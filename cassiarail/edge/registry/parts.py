"""Build the components that follow the registry and the configuration."""

import random
from collections.abc import Callable
from typing import Any

from cassiarail.core.clock import Clock
from cassiarail.edge.control import ControlParts
from cassiarail.edge.dependencies import ControlDependencies
from cassiarail.edge.registry.configuration import Configuration
from cassiarail.edge.registry.followers import (
    ConfigurationFollower,
    TargetFollower,
)
from cassiarail.edge.registry.store_polling import (
    CheckPacer,
    ConfigurationPacer,
    TargetPacer,
)
from cassiarail.edge.registry.watches import Watches, WatchHooks


class RegistryParts:
    """Own the watches, and tell the leader how old their state is."""

    def __init__(
        self,
        dependencies: ControlDependencies,
        control: ControlParts,
        on_directory_change: Callable[[], None],
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._report_soon = control.presence.report_soon
        self._copies = dependencies.copies
        self._receiver = control.update_receiver
        self._configuration = dependencies.configuration
        settings = dependencies.settings['registry']
        self.targets = TargetFollower(
            dependencies.directory,
            dependencies.dialect,
            on_directory_change,
        )
        check_pacer = CheckPacer(
            self._receiver,
            control.is_leader,
            control.count_hosts,
            lambda: dependencies.store.breaker.is_open,
        )
        self.watches = Watches(
            dependencies.store,
            settings,
            self.targets,
            ConfigurationFollower(
                dependencies.configuration,
                dependencies.dialect,
                settings['configuration_name'],
                self._on_configuration,
            ),
            clock,
            generator,
            WatchHooks(
                TargetPacer(self._receiver, control.is_leader, clock),
                ConfigurationPacer(
                    self._receiver,
                    control.is_leader,
                    clock,
                    dependencies.configuration.get_version,
                ),
                control.lease.observe,
                check_pacer.interval_s,
                self.targets.begin_return,
            ),
        )
        control.store_contact_s = self._compute_age_s
        control.on_term_start = self.watches.restart_waits
        control.presence.on_directory_change = on_directory_change

    def _on_configuration(
        self, configuration: Configuration, document: Any
    ) -> None:
        self._copies.record(configuration, document)
        self._report_soon()

    def _compute_age_s(self) -> float:
        """Return the age of what this host knows of the store.

        A new leader may have relied on the state updates of the last one.
        """
        if not self.watches.is_listed:
            return -1
        version = self._configuration.get_version()
        return min(
            self.watches.age_s(),
            self._receiver.age_with_configuration_s(version),
        )
