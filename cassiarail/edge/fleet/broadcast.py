"""Send the leader's state updates to all hosts.

A leader may have a narrow link. An update is therefore sent once to two hosts
of each large data centre, which relay it, instead of to each host.
"""

import collections
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.edge.fleet.messages import Relay, StateUpdate, encode_message
from cassiarail.edge.fleet.peers import PeerLink
from cassiarail.edge.fleet.traffic import TrafficKind
from cassiarail.http1.pool import Address

# Two, so that one that has stopped or is suspended delays nothing.
_RELAYS = 2
# Up to this many hosts of a data centre are sent to directly.
_MAX_DIRECT_HOSTS = 4
# Updates that are stored for hosts that miss some; a few seconds of orders.
_STORED_UPDATES = 128
# Updates that are resent at one request. A host that misses more learns about
# targets by its own watch; hundreds for each host would fill the link.
_MAX_RESENT = 8
# Hosts report every second. One that sent nothing for longer may be cut off,
# and a whole data centre would miss the updates that it doesn't relay.
_ALIVE_S = 2.5


class Host(NamedTuple):
    """Hold the address at which a host receives datagrams."""

    address: Address
    data_centre: str


class _SentUpdate(NamedTuple):
    """Hold an update that was sent."""

    number: int
    datagram: bytes


class Broadcaster:
    """Number updates, send them, and resend them on request."""

    def __init__(
        self,
        link: PeerLink,
        list_hosts: Callable[[], Iterable[Host]],
        generator: random.Random,
        clock: Clock,
    ) -> None:
        self.number = 0
        self._clock = clock
        self._last_contact_at: dict[Address, float] = {}
        self._link = link
        self._list_hosts = list_hosts
        self._generator = generator
        self._sent: collections.deque[_SentUpdate] = collections.deque(
            maxlen=_STORED_UPDATES,
        )

    def begin_term(self) -> None:
        """Begin a term; its updates are numbered from the start."""
        self.number = 0
        self._sent.clear()

    def send(self, update: StateUpdate) -> None:
        """Send an update to all other hosts."""
        if update.has_rows:
            self.number += 1
        update.number = self.number
        datagram = encode_message(update)
        if update.has_rows:
            self._sent.append(_SentUpdate(self.number, datagram))
        centres: dict[str, list[Address]] = collections.defaultdict(list)
        for host in self._list_hosts():
            if host.address != self._link.address:
                centres[host.data_centre].append(host.address)
        for addresses in centres.values():
            self._send_to_data_centre(datagram, addresses)

    def record_contact(self, address: Address) -> None:
        """Record that a host has sent something."""
        self._last_contact_at[address] = self._clock.monotonic()

    def resend(self, last_received: int, address: Address) -> bool:
        """Resend the updates after a number, unless they are too many."""
        missed = [sent for sent in self._sent if sent.number > last_received]
        if (
            len(missed) < self.number - last_received
            or len(missed) > _MAX_RESENT
        ):
            return False
        for sent in missed:
            self._link.send_datagram(
                sent.datagram,
                address,
                TrafficKind.RESEND,
            )
        return True

    def _send_to_data_centre(
        self,
        datagram: bytes,
        addresses: list[Address],
    ) -> None:
        if len(addresses) <= _MAX_DIRECT_HOSTS:
            for address in addresses:
                self._link.send_datagram(
                    datagram,
                    address,
                    TrafficKind.STATE_UPDATE,
                )
            return
        for relay in self._generator.sample(
            self._list_relays(addresses), _RELAYS
        ):
            others = [str(each) for each in addresses if each != relay]
            self._link.send(
                Relay(datagram, others),
                relay,
                TrafficKind.STATE_UPDATE,
            )

    def _list_relays(self, addresses: list[Address]) -> list[Address]:
        """Return the hosts that can relay an update."""
        oldest = self._clock.monotonic() - _ALIVE_S
        alive = [
            address
            for address in addresses
            if self._last_contact_at.get(address, float('-inf')) >= oldest
        ]
        return alive if len(alive) >= _RELAYS else addresses
