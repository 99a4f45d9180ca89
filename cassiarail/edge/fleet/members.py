"""Let all hosts know the addresses of all others.

The leader, which watches the registered hosts, sends their list in pages with
its regular updates. Hosts report a digest of the list that they have; pages
come more often while any host reports another one. A host keeps its list while
there is no leader, or while it is cut off.
"""

import collections
import ipaddress
import random
import struct
import zlib
from collections.abc import Callable, Iterable, Iterator

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.edge.events import MEMBERS_LISTED
from cassiarail.edge.fleet.broadcast import Host
from cassiarail.edge.fleet.messages import MemberPage
from cassiarail.http1.pool import Address

# IPv4 address and port.
_PACKED = struct.Struct('!4sH')
# The list of 380 hosts has four pages, so that regular updates carry it within
# two seconds; with its other rows an update still fits in one packet.
_PAGE_HOSTS = 96
# Pages come with each regular update for this long after a host has reported
# another list: longer than the interval of reports (1 s).
_HURRY_S = 2.2
# Otherwise they come with each eighth, for hosts whose reports are lost.
_CALM_INTERVAL = 8
# Senders that the leader has not listed yet; the oldest are forgotten.
_MAX_UNLISTED = 64


class PeerBook:
    """Hold the addresses of the other hosts."""

    def __init__(self, own: Address, generator: random.Random) -> None:
        self._own = own
        self._generator = generator
        self._listed: dict[Address, None] = {}
        self._unlisted: collections.OrderedDict[Address, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._listed) + len(self._unlisted)

    def __iter__(self) -> Iterator[Address]:
        yield from self._listed
        yield from self._unlisted

    def record(self, address: Address) -> None:
        """Record a host that has sent something."""
        if address == self._own or address in self._listed:
            return
        self._unlisted[address] = None
        self._unlisted.move_to_end(address)
        if len(self._unlisted) > _MAX_UNLISTED:
            self._unlisted.popitem(last=False)

    def add_listed(self, addresses: Iterable[Address]) -> None:
        """Add hosts that the leader has listed."""
        for address in addresses:
            if address != self._own:
                self._listed[address] = None
                self._unlisted.pop(address, None)

    def replace_listed(self, addresses: Iterable[Address]) -> None:
        """Replace the hosts that the leader has listed; some may be gone."""
        self._listed.clear()
        self.add_listed(addresses)

    def choose(self, count: int) -> list[Address]:
        """Return some random hosts."""
        known = list(self)
        return self._generator.sample(known, min(count, len(known)))


class MemberList:
    """Assemble the list of hosts from the pages of a leader."""

    def __init__(self, book: PeerBook) -> None:
        self.digest = 0
        self._book = book
        self._pages_digest = 0
        self._pages: dict[int, list[Address]] = {}

    def receive(self, page: MemberPage) -> None:
        """Add a page; replace the list when all its pages are there."""
        if page.digest == self.digest:
            return
        addresses = list(_unpack(page.addresses))
        self._book.add_listed(addresses)
        if page.digest != self._pages_digest:
            self._pages_digest = page.digest
            self._pages = {}
        self._pages[page.index] = addresses
        if len(self._pages) == page.count:
            self.replace(
                [each for listed in self._pages.values() for each in listed],
                page.digest,
            )
            self._pages = {}

    def replace(self, addresses: list[Address], digest: int) -> None:
        """Replace the list by a complete one."""
        self.digest = digest
        self._book.replace_listed(addresses)
        emit_event(MEMBERS_LISTED, hosts=len(addresses), digest=digest)


class MemberAnnouncer:
    """Choose the page that a leader's next regular update carries."""

    def __init__(
        self,
        list_hosts: Callable[[], Iterable[Host]],
        members: MemberList,
        clock: Clock,
    ) -> None:
        self._list_hosts = list_hosts
        self._members = members
        self._clock = clock
        self._next_page = 0
        self._update_count = 0
        self._hurry_until = float('-inf')

    def record_digest(self, digest: int) -> None:
        """Record the list that a host has reported."""
        if digest != self._members.digest:
            self._hurry_until = self._clock.monotonic() + _HURRY_S

    def next_page(self) -> MemberPage | None:
        """Return the page of the next regular update, if it carries one."""
        addresses = sorted(host.address for host in self._list_hosts())
        if not addresses:
            return None
        packed = b''.join(map(_pack, addresses))
        # Zero means that a host has no list.
        digest = zlib.crc32(packed) or 1
        if digest != self._members.digest:
            self._members.replace(addresses, digest)
            self._hurry_until = self._clock.monotonic() + _HURRY_S
        self._update_count += 1
        is_calm = self._clock.monotonic() >= self._hurry_until
        if is_calm and self._update_count % _CALM_INTERVAL:
            return None
        page_bytes = _PAGE_HOSTS * _PACKED.size
        count = -(-len(packed) // page_bytes)
        index = self._next_page % count
        self._next_page = index + 1
        start = index * page_bytes
        return MemberPage(
            digest, index, count, packed[start : start + page_bytes]
        )


def _pack(address: Address) -> bytes:
    host = ipaddress.IPv4Address(address.host).packed
    return _PACKED.pack(host, address.port)


def _unpack(packed: bytes) -> Iterator[Address]:
    usable = len(packed) - len(packed) % _PACKED.size
    for host, port in _PACKED.iter_unpack(packed[:usable]):
        yield Address(str(ipaddress.IPv4Address(host)), port)
