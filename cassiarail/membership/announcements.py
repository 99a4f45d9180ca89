"""Forward announcements immediately, each at most once."""

import collections
import random
from collections.abc import Callable, Coroutine

import anyio
from anyio.abc import TaskGroup

from cassiarail.core.exceptions import PeerError
from cassiarail.membership.backends.base import PeerTransport
from cassiarail.membership.digest import encode_member
from cassiarail.membership.peers import PeerTable
from cassiarail.membership.protos import peers_pb2 as pb

# Half the ring of the largest data centre. Random recipients shorten actual
# paths to far fewer hops.
_MAX_HOPS = 32
_MAX_SEEN_IDS = 4096
_ID_BITS = 64


class SeenAnnouncements:
    """Assign ids to announcements and detect duplicates."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._seen: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def assign_id(self, announcement: pb.Announcement, origin: str) -> None:
        """Set the id and origin of a new announcement."""
        announcement.id = self._generator.getrandbits(_ID_BITS)
        announcement.origin = origin
        self.record_if_new(announcement)

    def record_if_new(self, announcement: pb.Announcement) -> bool:
        """Record an announcement; return whether it is new."""
        if announcement.id in self._seen:
            return False
        self._seen[announcement.id] = None
        if len(self._seen) > _MAX_SEEN_IDS:
            self._seen.popitem(last=False)
        return True


class BackgroundTasks:
    """Run functions concurrently while a task group is open."""

    def __init__(self) -> None:
        self.group: TaskGroup | None = None

    def start(
        self,
        function: Callable[..., Coroutine[None, None, None]],
        *arguments: object,
    ) -> None:
        """Start a function, or skip it if the owner isn't running."""
        if self.group is not None:
            self.group.start_soon(function, *arguments)


class Announcer:
    """Send this node's announcements and forward those of others."""

    def __init__(
        self,
        peers: PeerTable,
        transport: PeerTransport,
        background_tasks: BackgroundTasks,
        generator: random.Random,
        record_failure: Callable[[str], None],
    ) -> None:
        """Initialize the announcer.

        ``record_failure`` is called with the address of a peer that can't be
        reached.
        """
        self._peers = peers
        self._transport = transport
        self._background_tasks = background_tasks
        self._generator = generator
        self._record_failure = record_failure
        self._seen = SeenAnnouncements(generator)

    def record_if_new(self, announcement: pb.Announcement) -> bool:
        """Record an announcement; return whether it is new."""
        return self._seen.record_if_new(announcement)

    def announce(self, announcement: pb.Announcement) -> None:
        """Start to distribute a new announcement of this node."""
        self._seen.assign_id(announcement, self._peers.own.address)
        self._background_tasks.start(self._forward, announcement)

    def relay(self, announcement: pb.Announcement) -> None:
        """Start to forward the announcement of another node."""
        announcement.hops = min(announcement.hops + 1, _MAX_HOPS)
        if announcement.hops < _MAX_HOPS:
            self._background_tasks.start(self._forward, announcement)

    async def send_to(
        self,
        address: str,
        announcement: pb.Announcement,
    ) -> None:
        """Send a new announcement to one peer, which doesn't forward it."""
        announcement.hops = _MAX_HOPS
        self._seen.assign_id(announcement, self._peers.own.address)
        await self._send(address, announcement)

    async def announce_leave(self) -> None:
        """Announce to the neighbours that this controller leaves."""
        leaving = encode_member(self._peers.own)
        leaving.left = True
        announcement = pb.Announcement(suspicion=leaving)
        self._seen.assign_id(announcement, self._peers.own.address)
        await self._forward(announcement)

    async def _forward(self, announcement: pb.Announcement) -> None:
        """Send an announcement to both ring neighbours and a random member."""
        recipients = dict.fromkeys(self._peers.list_ring_neighbours())
        recipients[self._generator.choice(self._peers.list_live())] = None
        recipients.pop(self._peers.own.address, None)
        recipients.pop(announcement.origin, None)
        async with anyio.create_task_group() as group:
            for address in recipients:
                group.start_soon(self._send, address, announcement)

    async def _send(self, address: str, announcement: pb.Announcement) -> None:
        try:
            await self._transport.announce(address, announcement)
        except PeerError:
            self._record_failure(address)
