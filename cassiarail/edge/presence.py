"""Tell the other hosts what this one knows and needs."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.edge.demand import DemandMeter
from cassiarail.edge.fleet_demand import FleetDemand, list_rows
from cassiarail.edge.holder import OrderHolder
from cassiarail.edge.messages import (
    Digest,
    EngineRow,
    Ledger,
    LossRow,
    Message,
)
from cassiarail.edge.peers import PeerLink
from cassiarail.edge.suspects import CrashSuspects
from cassiarail.edge.targets import Holdings, TargetDirectory
from cassiarail.edge.tenure import Tenure
from cassiarail.edge.waiting import PlacementWaits
from cassiarail.http1.pool import Address

_REPORT_INTERVAL_S = 0.5
# Losses are repeated for this long, so that a lost datagram doesn't matter.
_LOSSES_WITHIN_S = 10.0
_MAX_LOSSES = 20
# What a wait for an urgent datagram gathers.
_GATHER_S = 0.002
# Rows of one datagram; more would not fit in one packet.
_MAX_ROWS = 8
_HOLDER_SILENT_S = 2.0


class _Sent(NamedTuple):
    """Hold what was sent of an engine."""

    born_ms: int
    order_count: int
    models: dict[str, list[str]]


class PresenceParts(NamedTuple):
    """Hold what a host reports from and to."""

    meter: DemandMeter
    fleet_demand: FleetDemand
    suspects: CrashSuspects
    directory: TargetDirectory
    waits: PlacementWaits
    list_hosts: Callable[[], Iterable[Address]]


class Presence(Component):
    """Send digests to the order holder, or its ledger to all hosts."""

    name = 'presence'

    def __init__(
        self,
        host: str,
        address: Address,
        parts: PresenceParts,
        clock: Clock,
    ) -> None:
        self.host_count = 0
        self.holder: OrderHolder | None = None
        self.tenure: Tenure | None = None
        self._host = host
        self._parts = parts
        self._clock = clock
        self._link = PeerLink(address, self.take_message)
        self._holder_address: Address | None = None
        self._holder_heard_at = float('-inf')
        self._holder_fence = 0
        self._expected: dict[tuple[str, str], float] = {}
        self._is_urgent = False
        self._sent_rows: dict[str, _Sent] = {}

    async def start(self) -> None:
        """Bind the address of peers."""
        await self._link.start()

    async def run(self) -> None:
        """Report regularly until cancelled."""
        while True:
            self.report(is_whole=True)
            await self._clock.sleep(_REPORT_INTERVAL_S)

    async def stop(self) -> None:
        """Release the address."""
        self._link.stop()

    def report_soon(self) -> None:
        """Report without waiting for the interval."""
        if not self._is_urgent:
            self._is_urgent = True
            loop = asyncio.get_running_loop()
            loop.call_later(_GATHER_S, self.report)

    def report(self, *, is_whole: bool = False) -> None:
        """Send what has changed, or everything."""
        self._is_urgent = False
        digest = self._make_digest()
        if self.holder is not None and self.holder.is_holder:
            self._parts.fleet_demand.take(digest)
            self.holder.wake()
            self._send_ledger(is_whole=is_whole)
        elif self._holder_address is not None:
            self._link.send(digest, self._holder_address)

    def resign(self) -> None:
        """Tell the hosts that this one gives no more orders."""
        if self.holder is None or self.tenure is None:
            return
        rows = self.holder.list_rows()
        ledger = self._make_ledger(rows, is_last=True)
        self._broadcast(ledger)
        # Datagrams may be lost; a second copy makes that rare.
        self._broadcast(ledger)

    def seconds_until(self, service: str, model: str) -> float | None:
        """Return when a model that is being loaded will be ready."""
        ready_at = self._expected.get((service, model))
        if ready_at is None:
            return None
        return max(0, ready_at - self._clock.monotonic())

    def has_holder(self) -> bool:
        """Tell whether some host gives orders."""
        if self.holder is not None and self.holder.is_holder:
            return True
        age = self._clock.monotonic() - self._holder_heard_at
        return age < _HOLDER_SILENT_S

    def take_message(self, message: Message, sender: Address) -> None:
        """Take a message of another host."""
        for loss in message.losses:
            self._parts.suspects.record(
                loss.fingerprint,
                (loss.instance, loss.born_ms),
            )
        if isinstance(message, Digest):
            self._parts.fleet_demand.take(message)
            if self.holder is not None:
                self.holder.wake()
        else:
            self._take_ledger(message, sender)

    def _take_ledger(self, ledger: Ledger, sender: Address) -> None:
        if ledger.fence < self._holder_fence or ledger.host == self._host:
            return
        self._holder_fence = ledger.fence
        self.host_count = max(self.host_count, ledger.hosts)
        if self.tenure is not None:
            if ledger.is_last:
                self.tenure.hear_resignation(
                    ledger.fence,
                    {row.instance: row.idle_s for row in ledger.engines},
                )
            else:
                self.tenure.hear_holder()
        self._holder_address = sender
        for identity in ledger.leaving:
            self._parts.directory.learn_leaving(identity)
        now = self._clock.monotonic()
        self._holder_heard_at = now
        self._expected = {
            (row.service, row.model): now + row.ready_in_s
            for row in ledger.expected
        }
        for row in ledger.engines:
            self._parts.directory.learn_holdings(
                (row.instance, row.born_ms),
                _read_holdings(row),
            )
        if ledger.engines:
            self._parts.waits.wake()

    def _make_digest(self) -> Digest:
        return Digest(
            self._host,
            list_rows(self._parts.meter.measure(), self._parts.waits),
            self._list_losses(),
        )

    def _send_ledger(self, *, is_whole: bool) -> None:
        if self.holder is None:
            return
        rows = self.holder.list_rows()
        if not is_whole:
            rows = [
                row
                for row in rows
                if self._sent_rows.get(row.instance) != _drop_age(row)
            ]
        self._sent_rows.update(
            {row.instance: _drop_age(row) for row in rows},
        )
        self._note_expected()
        for begin in range(0, max(1, len(rows)), _MAX_ROWS):
            part = rows[begin : begin + _MAX_ROWS]
            self._broadcast(self._make_ledger(part))
        self._parts.waits.wake()

    def _note_expected(self) -> None:
        if self.holder is None:
            return
        now = self._clock.monotonic()
        self._expected = {
            (row.service, row.model): now + row.ready_in_s
            for row in self.holder.list_expected()
        }

    def _make_ledger(
        self,
        rows: list[EngineRow],
        *,
        is_last: bool = False,
    ) -> Ledger:
        holder = self.holder
        hosts = list(self._parts.list_hosts())
        self.host_count = max(self.host_count, len(hosts))
        return Ledger(
            self._host,
            self.tenure.fence if self.tenure else 0,
            len(hosts),
            rows,
            holder.list_expected() if holder else [],
            self._list_losses(),
            self._parts.directory.list_leaving(),
            is_last,
        )

    def _broadcast(self, ledger: Ledger) -> None:
        for address in self._parts.list_hosts():
            if address != self._link.address:
                self._link.send(ledger, address)

    def _list_losses(self) -> list[LossRow]:
        recent = self._parts.suspects.list_recent(_LOSSES_WITHIN_S)
        return [
            LossRow(loss.fingerprint, *loss.target)
            for loss, _index in zip(recent, range(_MAX_LOSSES), strict=False)
        ]


def _read_holdings(row: EngineRow) -> Holdings:
    return Holdings(
        {model: frozenset(names) for model, names in row.models.items()},
        order_count=row.order_count,
    )


def _drop_age(row: EngineRow) -> _Sent:
    return _Sent(row.born_ms, row.order_count, row.models)
