"""Serve the routing snapshot to gateways and receive their reports."""

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio

from cassiarail.core.clock import Clock
from cassiarail.declarations.schema import ConfigurationDocument
from cassiarail.membership.backends.base import FeedService
from cassiarail.membership.exchange import MembershipNode
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.membership.rows import (
    encode_target,
    find_changed,
    pack_document,
)
from cassiarail.routing.snapshot import RoutingSnapshot, TargetState

# An update is sent at least this often, so that a gateway can distinguish a
# dead connection from a fleet without changes.
KEEPALIVE_S = 1.0

ReportHandler = Callable[[pb.GatewayReport], Awaitable[None]]


class SnapshotFeed(FeedService):
    """Hold the latest snapshot and stream its changes to each gateway."""

    def __init__(self, clock: Clock, report_handler: ReportHandler) -> None:
        """Set the handler that is called with each report of a gateway."""
        self._clock = clock
        self._report_handler = report_handler
        self._snapshot: RoutingSnapshot | None = None
        self._packed = b''
        self._packed_generation = 0
        self._changed = anyio.Event()

    def publish(
        self,
        snapshot: RoutingSnapshot,
        configuration: ConfigurationDocument | None,
    ) -> None:
        """Replace the snapshot and configuration sent to subscribers."""
        self._snapshot = snapshot
        if configuration is not None:
            generation = configuration['generation']
            if generation > self._packed_generation:
                self._packed = pack_document(configuration)
                self._packed_generation = generation
        self._changed.set()
        self._changed = anyio.Event()

    async def subscribe(
        self,
        request: pb.SubscribeRequest,
    ) -> AsyncIterator[pb.RoutingUpdate]:
        """Yield a full update, then changes until the gateway disconnects."""
        while self._snapshot is None:
            await self._changed.wait()
        sent: dict[str, TargetState] = {}
        generation = request.generation
        full = True
        while True:
            current = {state.name: state for state in self._snapshot.targets}
            update = self._build_update(sent, current, generation)
            update.full = full
            sent = current
            generation = max(generation, self._packed_generation)
            full = False
            changed = self._changed
            yield update
            with anyio.move_on_after(KEEPALIVE_S):
                await changed.wait()

    async def handle_report(self, report: pb.GatewayReport) -> pb.Ack:
        """Pass the report of a gateway to the handler and acknowledge it."""
        await self._report_handler(report)
        return pb.Ack(accepted=True)

    def _build_update(
        self,
        sent: dict[str, TargetState],
        current: dict[str, TargetState],
        generation: int,
    ) -> pb.RoutingUpdate:
        snapshot = self._snapshot or RoutingSnapshot(0)
        now = self._clock.monotonic()
        update = pb.RoutingUpdate(
            generation=snapshot.generation,
            removed=[name for name in sent if name not in current],
            quarantined=sorted(snapshot.quarantined),
            suspects=sorted(snapshot.suspects),
        )
        update.targets.extend(
            encode_target(state, now) for state in find_changed(sent, current)
        )
        if self._packed_generation > generation:
            update.configuration = self._packed
        return update


def record_fingerprints(node: MembershipNode, report: pb.GatewayReport) -> None:
    """Record and announce the crashes and successes in a report."""
    for suspicion in report.suspicions:
        node.record_crash(
            suspicion.fingerprint,
            suspicion.target,
            suspicion.instance,
        )
    for fingerprint in report.cleared:
        node.record_success(fingerprint)
