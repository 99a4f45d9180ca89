"""Send the order holder's ledgers to all hosts.

Answers fleets whose holder has a narrow link: a ledger goes once to two hosts
of each large data centre, which pass it on, instead of to each host.
"""

import collections
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.edge.messages import Ledger, Relay, encode_message
from cassiarail.edge.peers import PeerLink
from cassiarail.edge.traffic import TrafficKind
from cassiarail.http1.pool import Address

# Two, so that one that is gone or frozen delays nothing.
_RELAYS = 2
# Up to this many hosts of a data centre are sent to directly.
_DIRECT_HOSTS = 4
# Ledgers that are kept for hosts that miss some; a few seconds of orders.
_KEPT_LEDGERS = 128
# Ledgers that are sent again at one request. A host that misses more learns
# targets by its own watch; hundreds for each host would fill the link.
_MOST_REPEATS = 8
# Hosts report every second; one that was not heard for longer may be cut off,
# and a whole data centre would miss what it doesn't pass on.
_ALIVE_S = 2.5


class Host(NamedTuple):
    """Name where a host takes datagrams."""

    address: Address
    data_centre: str


class _Kept(NamedTuple):
    """Hold a ledger that was sent."""

    number: int
    datagram: bytes


class Broadcaster:
    """Number ledgers, send them, and send them again on request."""

    def __init__(
        self,
        link: PeerLink,
        list_hosts: Callable[[], Iterable[Host]],
        generator: random.Random,
        clock: Clock,
    ) -> None:
        self.number = 0
        self._clock = clock
        self._heard_at: dict[Address, float] = {}
        self._link = link
        self._list_hosts = list_hosts
        self._generator = generator
        self._kept: collections.deque[_Kept] = collections.deque(
            maxlen=_KEPT_LEDGERS,
        )

    def begin(self) -> None:
        """Begin a tenure; its ledgers are numbered anew."""
        self.number = 0
        self._kept.clear()

    def send(self, ledger: Ledger) -> None:
        """Send a ledger to all other hosts."""
        if ledger.has_rows:
            self.number += 1
        ledger.number = self.number
        datagram = encode_message(ledger)
        if ledger.has_rows:
            self._kept.append(_Kept(self.number, datagram))
        centres: dict[str, list[Address]] = collections.defaultdict(list)
        for host in self._list_hosts():
            if host.address != self._link.address:
                centres[host.data_centre].append(host.address)
        for addresses in centres.values():
            self._send_to_centre(datagram, addresses)

    def note_heard(self, address: Address) -> None:
        """Note that a host has sent something."""
        self._heard_at[address] = self._clock.monotonic()

    def resend(self, heard: int, address: Address) -> bool:
        """Send the ledgers after ``heard`` again, unless they are too many."""
        missed = [kept for kept in self._kept if kept.number > heard]
        if len(missed) < self.number - heard or len(missed) > _MOST_REPEATS:
            return False
        for kept in missed:
            self._link.send_datagram(
                kept.datagram,
                address,
                TrafficKind.REPEAT,
            )
        return True

    def _send_to_centre(
        self,
        datagram: bytes,
        addresses: list[Address],
    ) -> None:
        if len(addresses) <= _DIRECT_HOSTS:
            for address in addresses:
                self._link.send_datagram(
                    datagram,
                    address,
                    TrafficKind.LEDGER,
                )
            return
        for relay in self._generator.sample(self._choose(addresses), _RELAYS):
            rest = [str(each) for each in addresses if each != relay]
            self._link.send(
                Relay(datagram, rest),
                relay,
                TrafficKind.LEDGER,
            )

    def _choose(self, addresses: list[Address]) -> list[Address]:
        """Return the hosts that can pass a ledger on."""
        oldest = self._clock.monotonic() - _ALIVE_S
        alive = [
            address
            for address in addresses
            if self._heard_at.get(address, float('-inf')) >= oldest
        ]
        return alive if len(alive) >= _RELAYS else addresses
