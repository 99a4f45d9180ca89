"""Apply the targets and the configuration from the store."""

from collections.abc import Callable
from typing import Any

from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import RequestError
from cassiarail.edge.dialect import Dialect
from cassiarail.edge.events import (
    CONFIGURATION_APPLIED,
    CONFIGURATION_UNREADABLE,
    ENTRY_UNREADABLE,
    TARGET_ADDED,
    TARGET_LEAVING,
)
from cassiarail.edge.registry.configuration import (
    Configuration,
    CurrentConfiguration,
)
from cassiarail.edge.registry.targets import Target, TargetDirectory
from cassiarail.store.backends.base import Listing, StoredObject, WatchBatch
from cassiarail.store.watching import Follower


class TargetFollower(Follower):
    """Synchronize the directory with the registry."""

    def __init__(
        self,
        directory: TargetDirectory,
        dialect: Dialect,
        on_change: Callable[[], None],
    ) -> None:
        self._directory = directory
        self._dialect = dialect
        self._on_change = on_change

    def apply_listing(self, listing: Listing) -> None:
        """Apply a full listing."""
        decoded = [self._decode(entry) for entry in listing.entries]
        targets = [target for target in decoded if target is not None]
        for target in targets:
            log_target(self._directory, target, 'listing')
        self._directory.replace_all(targets, listing.revision)
        self._on_change()

    def apply_changes(self, batch: WatchBatch) -> None:
        """Apply changed and removed entries."""
        for entry in batch.entries:
            target = self._decode(entry)
            if target is None:
                self._directory.remove(entry.name, entry.version)
            else:
                log_target(self._directory, target, 'watch')
                self._directory.put(target)
        for name in batch.deleted:
            is_removed = self._directory.remove(name, batch.revision)
            emit_event(
                TARGET_LEAVING,
                target=name,
                reason='entry removed',
                revision=batch.revision,
                kept=not is_removed,
            )
        self._on_change()

    def begin_return(self) -> None:
        """Retain for a while the entries that expired during an outage."""
        self._directory.begin_grace_period()

    def expire(self) -> None:
        """Remove entries that have not returned in time."""
        for name in self._directory.expire():
            emit_event(TARGET_LEAVING, target=name, reason='did not return')

    def _decode(self, entry: StoredObject) -> Target | None:
        try:
            target = self._dialect.decode_target(entry.name, entry.document)
        except RequestError as error:
            emit_event(
                ENTRY_UNREADABLE,
                target=entry.name,
                revision=entry.version,
                error=error.message,
            )
            return None
        return target._replace(revision=entry.version)


def log_target(
    directory: TargetDirectory,
    target: Target,
    source: str,
) -> None:
    """Log what an entry will change; call it before ``directory.put``."""
    known = directory.get(target.instance)
    if known is None or known.identity != target.identity:
        emit_event(
            TARGET_ADDED,
            target=target.instance,
            service=target.service,
            address=str(target.address),
            leaving=target.is_leaving,
            models=sorted(target.holdings.models),
            source=source,
        )
    elif target.is_leaving and not known.is_leaving:
        emit_event(
            TARGET_LEAVING,
            target=target.instance,
            reason='target is leaving',
            revision=target.revision,
            source=source,
        )


class ConfigurationFollower(Follower):
    """Activate each newer configuration."""

    def __init__(
        self,
        current_configuration: CurrentConfiguration,
        dialect: Dialect,
        object_name: str,
        on_change: Callable[[Configuration, Any], None],
    ) -> None:
        """Call ``on_change`` with a configuration and its document."""
        self._current_configuration = current_configuration
        self._dialect = dialect
        self._object_name = object_name
        self._on_change = on_change

    def apply_listing(self, listing: Listing) -> None:
        """Apply the configuration; a missing one changes nothing."""
        for entry in listing.entries:
            self._apply(entry)

    def apply_changes(self, batch: WatchBatch) -> None:
        """Apply a changed configuration."""
        for entry in batch.entries:
            self._apply(entry)

    def _apply(self, entry: StoredObject) -> None:
        if entry.name != self._object_name:
            return
        try:
            found = self._dialect.decode_configuration(entry.document)
        except RequestError as error:
            emit_event(
                CONFIGURATION_UNREADABLE,
                revision=entry.version,
                error=error.message,
            )
            return
        if self._current_configuration.offer(found):
            emit_event(
                CONFIGURATION_APPLIED,
                version=found.version,
                revision=entry.version,
                routes=len(found.routes),
            )
            self._on_change(found, entry.document)
