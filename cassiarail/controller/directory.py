"""Collect the state of every target and publish the routing snapshot.

Engines of the local data centre are polled directly, so that a snapshot is
current even if the platform is unavailable. The state of engines elsewhere is
read from the status objects; a stale entry costs at most a refusal with the
verdict ``not run``.
"""

import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

import anyio

from cassiarail.control.ledger import parse_key
from cassiarail.control.orders import EngineAdmin, EngineReport
from cassiarail.controller.feed import SnapshotFeed
from cassiarail.controller.status import STATUS_KIND, TargetStatus
from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import StoreError, TargetError
from cassiarail.core.lifecycle import Component
from cassiarail.declarations.schema import (
    ConfigurationDocument,
    ServiceDocument,
    TargetDocument,
)
from cassiarail.membership.exchange import MembershipNode
from cassiarail.placement.backends.base import HoldingKey
from cassiarail.routing.snapshot import (
    RoutingSnapshot,
    TargetKind,
    TargetState,
)
from cassiarail.store.backends.base import ObjectStore

_INVENTORY_INTERVAL_S = 1.0
_STATUS_INTERVAL_S = 2.0
_PUBLISH_INTERVAL_S = 0.25
# The models of an engine without a report for this long are not offered.
_UNREACHABLE_AFTER_S = 5.0
_JITTER = (0.8, 1.2)
_READY = 'ready'
ConfigurationSource = Callable[[], ConfigurationDocument | None]


class _ReceivedReport(NamedTuple):
    report: EngineReport
    received_at: float


class TargetDirectory(Component):
    """Build the routing snapshot from reports, statuses and membership."""

    name = 'directory'

    def __init__(
        self,
        data_centre: str,
        configuration: ConfigurationSource,
        node: MembershipNode,
        admin: EngineAdmin,
        store: ObjectStore,
        feed: SnapshotFeed,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._configuration = configuration
        self._node = node
        self._admin = admin
        self._store = store
        self._feed = feed
        self._clock = clock
        self._generator = generator
        self._reports: dict[str, _ReceivedReport] = {}
        self._remote_statuses: dict[str, TargetStatus] = {}
        self.snapshot = RoutingSnapshot(0)

    async def run(self) -> None:
        """Refresh the state and publish snapshots until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._refresh_inventory)
            group.start_soon(self._refresh_remote)
            group.start_soon(self._publish_changes)

    def is_ready(self) -> bool:
        """Return whether a snapshot of some configuration was published."""
        return self.snapshot.generation > 0

    def build_snapshot(self) -> RoutingSnapshot:
        """Return the current snapshot."""
        configuration = self._configuration()
        if configuration is None:
            return RoutingSnapshot(0)
        declarations = configuration['declarations']
        return RoutingSnapshot(
            generation=configuration['generation'],
            targets=tuple(
                self._build_state(service, target)
                for service in declarations['services']
                for target in service['targets']
            ),
            quarantined=self._node.fingerprints.list_quarantined(),
            suspects=self._node.fingerprints.list_suspects(),
        )

    async def _refresh_inventory(self) -> None:
        while True:
            async with anyio.create_task_group() as group:
                for target in self._list_local_engines():
                    group.start_soon(self._read_report, target)
            await self._sleep(_INVENTORY_INTERVAL_S)

    async def _refresh_remote(self) -> None:
        while True:
            try:
                listing = await self._store.list_objects(STATUS_KIND)
            except StoreError:
                # The last statuses stay in use; targets refuse requests that
                # they can't run.
                await self._sleep(_STATUS_INTERVAL_S)
                continue
            for entry in listing.entries:
                if entry.name != self._data_centre:
                    self._remote_statuses.update(
                        {row['name']: row for row in entry.document['targets']},
                    )
            await self._sleep(_STATUS_INTERVAL_S)

    async def _publish_changes(self) -> None:
        while True:
            changed = self._node.changed
            snapshot = self.build_snapshot()
            if snapshot != self.snapshot:
                self.snapshot = snapshot
                self._feed.publish(snapshot, self._configuration())
            with anyio.move_on_after(_PUBLISH_INTERVAL_S):
                await changed.wait()

    async def _read_report(self, target: TargetDocument) -> None:
        try:
            report = await self._admin.read_state(target['address'])
        except TargetError:
            return
        now = self._clock.monotonic()
        self._reports[target['name']] = _ReceivedReport(report, now)

    async def _sleep(self, seconds: float) -> None:
        share = self._generator.uniform(*_JITTER)
        await self._clock.sleep(seconds * share)

    def _list_local_engines(self) -> list[TargetDocument]:
        configuration = self._configuration()
        if configuration is None:
            return []
        return [
            target
            for service in configuration['declarations']['services']
            if service['kind'] == TargetKind.ENGINE.value
            for target in service['targets']
            if target['data_centre'] == self._data_centre
        ]

    def _build_state(
        self,
        service: ServiceDocument,
        target: TargetDocument,
    ) -> TargetState:
        name = target['name']
        kind = TargetKind(service['kind'])
        ready = list(self._list_ready(kind, target))
        entry = self._node.targets.find(name)
        received = self._reports.get(name)
        leaving = bool(entry and entry.profile.leaving)
        if received is not None:
            leaving = leaving or received.report['leaving']
        elif name in self._remote_statuses:
            leaving = leaving or self._remote_statuses[name]['leaving']
        return TargetState(
            name=name,
            service=service['name'],
            kind=kind,
            data_centre=target['data_centre'],
            address=target['address'],
            instance=entry.profile.instance if entry else '',
            leaving=leaving,
            models=frozenset(key.model for key in ready if not key.adapter),
            adapters=frozenset(
                f'{key.model}/{key.adapter}' for key in ready if key.adapter
            ),
            load=self._node.targets.describe_load(name),
        )

    def _list_ready(
        self,
        kind: TargetKind,
        target: TargetDocument,
    ) -> Iterator[HoldingKey]:
        if kind is TargetKind.PLAIN:
            return
        if target['data_centre'] != self._data_centre:
            status = self._remote_statuses.get(target['name'])
            yield from map(parse_key, status['live'] if status else ())
            return
        received = self._reports.get(target['name'])
        if received is None:
            return
        age = self._clock.monotonic() - received.received_at
        if age > _UNREACHABLE_AFTER_S:
            return
        for row in received.report['held']:
            if row['state'] == _READY:
                yield HoldingKey(
                    row['model'],
                    row['version'],
                    row.get('adapter') or '',
                )
