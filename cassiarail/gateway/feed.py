"""Subscribe to the routing snapshot of a controller and report to it."""

import random
from collections.abc import AsyncIterator, Callable, Sequence

import anyio

from cassiarail.core.backoff import Backoff
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import PeerError
from cassiarail.core.lifecycle import Component
from cassiarail.declarations.schema import ConfigurationDocument
from cassiarail.membership.backends.base import PeerTransport
from cassiarail.membership.events import FEED_LOST, FEED_SUBSCRIBED
from cassiarail.membership.exceptions import (
    PeerTimeoutError,
    PeerUnavailableError,
)
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.membership.rows import decode_target, unpack_document
from cassiarail.routing.snapshot import RoutingSnapshot, TargetState

# Controllers send an update each second; the connection counts as failed after
# three missing ones.
_UPDATE_TIMEOUT_S = 3.0
_REPORT_INTERVAL_S = 1.0
# Time after which a gateway on another controller retries its preferred one.
_RETRY_PREFERRED_S = 60.0
_BACKOFF = Backoff(base_s=0.1, cap_s=2)

ListControllers = Callable[[], Sequence[str]]
CollectReport = Callable[[], pb.GatewayReport]
UpdateListener = Callable[
    [RoutingSnapshot, ConfigurationDocument | None],
    None,
]


class FeedClient(Component):
    """Receive the latest snapshot and configuration for a gateway.

    While no controller responds, the last ones remain in use.
    """

    name = 'feed'

    def __init__(
        self,
        transport: PeerTransport,
        list_controllers: ListControllers,
        collect_report: CollectReport,
        clock: Clock,
        generator: random.Random | None = None,
    ) -> None:
        """Initialize the client.

        ``list_controllers`` returns the addresses of controllers, the
        preferred one first.
        """
        self._transport = transport
        self._list_controllers = list_controllers
        self._collect_report = collect_report
        self._clock = clock
        self._generator = generator or random.Random()
        self._targets: dict[str, TargetState] = {}
        self._listeners: list[UpdateListener] = []
        self.snapshot: RoutingSnapshot | None = None
        self.configuration: ConfigurationDocument | None = None
        self.controller: str | None = None
        self._failures = 0

    def is_ready(self) -> bool:
        """Return whether any snapshot has been received."""
        return self.snapshot is not None

    def add_listener(self, listener: UpdateListener) -> None:
        """Register a function to call after each update."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Receive updates and send reports until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_controllers)
            group.start_soon(self._report_periodically)

    async def report_now(self, report: pb.GatewayReport) -> None:
        """Send a report immediately and wait for its confirmation.

        Raises ``PeerUnavailableError`` if no controller confirms it.
        """
        for address in self._order_controllers():
            try:
                await self._transport.report(address, report)
            except PeerError:
                continue
            return
        raise PeerUnavailableError('no controller confirmed the report')

    async def _follow_controllers(self) -> None:
        while True:
            address = self._choose_controller()
            try:
                await self._follow_controller(address)
            except PeerError as error:
                self._failures += 1
                emit_event(FEED_LOST, controller=address, error=error.message)
            self.controller = None
            await self._clock.sleep(
                _BACKOFF.delay(self._failures, self._generator),
            )

    async def _follow_controller(self, address: str) -> None:
        if not address:
            raise PeerUnavailableError('no controller is known')
        generation = (
            self.configuration['generation'] if self.configuration else 0
        )
        updates = self._transport.subscribe(
            address,
            pb.SubscribeRequest(generation=generation),
        )
        preferred = next(iter(self._list_controllers()))
        ends_at = self._clock.monotonic() + _RETRY_PREFERRED_S
        while address == preferred or self._clock.monotonic() < ends_at:
            update = await _receive_update(updates, address)
            if self.controller is None:
                emit_event(FEED_SUBSCRIBED, controller=address)
            self.controller = address
            self._apply(update)
            self._failures = 0

    def _apply(self, update: pb.RoutingUpdate) -> None:
        now = self._clock.monotonic()
        if update.full:
            self._targets.clear()
        for name in update.removed:
            self._targets.pop(name, None)
        for row in update.targets:
            self._targets[row.name] = decode_target(row, now)
        if update.configuration:
            self._apply_configuration(unpack_document(update.configuration))
        self.snapshot = RoutingSnapshot(
            generation=update.generation,
            targets=tuple(self._targets.values()),
            quarantined=frozenset(update.quarantined),
            suspects=frozenset(update.suspects),
        )
        for listener in self._listeners:
            listener(self.snapshot, self.configuration)

    def _apply_configuration(self, document: ConfigurationDocument) -> None:
        # Another controller may lag behind the one that disconnected.
        current = self.configuration
        if current is None or document['generation'] > current['generation']:
            self.configuration = document

    async def _report_periodically(self) -> None:
        while True:
            await self._clock.sleep(_REPORT_INTERVAL_S)
            if self.controller is None:
                continue
            try:
                await self._transport.report(
                    self.controller,
                    self._collect_report(),
                )
            except PeerError as error:
                emit_event(
                    FEED_LOST,
                    controller=self.controller,
                    error=error.message,
                )

    def _choose_controller(self) -> str:
        """Return the preferred controller, or the next one after failures."""
        addresses = self._list_controllers()
        if not addresses:
            return ''
        return addresses[self._failures % len(addresses)]

    def _order_controllers(self) -> list[str]:
        addresses = list(self._list_controllers())
        if self.controller in addresses:
            addresses.remove(self.controller)
            addresses.insert(0, self.controller)
        return addresses


async def _receive_update(
    updates: AsyncIterator[pb.RoutingUpdate],
    address: str,
) -> pb.RoutingUpdate:
    try:
        with anyio.fail_after(_UPDATE_TIMEOUT_S):
            return await anext(updates)
    except TimeoutError as error:
        raise PeerTimeoutError(f'{address} sent no update in time') from error
    except StopAsyncIteration as error:
        raise PeerUnavailableError(f'{address} ended the stream') from error
