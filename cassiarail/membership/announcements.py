"""Forward announcements at once, each only a single time."""

import collections
import random
from collections.abc import Callable, Coroutine

import anyio
from anyio.abc import TaskGroup

from cassiarail.core.exceptions import PeerError
from cassiarail.membership.backends.base import PeerTransport
from cassiarail.membership.digest import write_member
from cassiarail.membership.peers import PeerTable
from cassiarail.membership.protos import peers_pb2 as pb

# Half the ring of the largest data centre; random links make it far less.
_MAX_HOPS = 32
_KEPT_IDS = 4096
_ID_BITS = 64


class SeenAnnouncements:
    """Give ids to announcements and remember those that were seen."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._seen: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def stamp(self, announcement: pb.Announcement, origin: str) -> None:
        """Give a new announcement its id and origin."""
        announcement.id = self._generator.getrandbits(_ID_BITS)
        announcement.origin = origin
        self.is_new(announcement)

    def is_new(self, announcement: pb.Announcement) -> bool:
        """Tell whether an announcement is seen for the first time."""
        if announcement.id in self._seen:
            return False
        self._seen[announcement.id] = None
        if len(self._seen) > _KEPT_IDS:
            self._seen.popitem(last=False)
        return True


class Background:
    """Run functions beside the caller while a task group is open."""

    def __init__(self) -> None:
        self.group: TaskGroup | None = None

    def start(
        self,
        function: Callable[..., Coroutine[None, None, None]],
        *positional: object,
    ) -> None:
        """Start a function, or drop it if the owner isn't running."""
        if self.group is not None:
            self.group.start_soon(function, *positional)


class Announcer:
    """Send own announcements and forward those of others."""

    def __init__(
        self,
        peers: PeerTable,
        transport: PeerTransport,
        background: Background,
        generator: random.Random,
        note_failure: Callable[[str], None],
    ) -> None:
        """Take the function that is told of peers that can't be reached."""
        self._peers = peers
        self._transport = transport
        self._background = background
        self._generator = generator
        self._note_failure = note_failure
        self._seen = SeenAnnouncements(generator)

    def is_new(self, announcement: pb.Announcement) -> bool:
        """Tell whether an announcement is seen for the first time."""
        return self._seen.is_new(announcement)

    def announce(self, announcement: pb.Announcement) -> None:
        """Begin to spread an own announcement."""
        self._seen.stamp(announcement, self._peers.own.address)
        self._background.start(self._forward, announcement)

    def relay(self, announcement: pb.Announcement) -> None:
        """Begin to spread the announcement of another node."""
        announcement.hops = min(announcement.hops + 1, _MAX_HOPS)
        if announcement.hops < _MAX_HOPS:
            self._background.start(self._forward, announcement)

    async def send_to(
        self,
        address: str,
        announcement: pb.Announcement,
    ) -> None:
        """Send an own announcement to one peer, which doesn't forward it."""
        announcement.hops = _MAX_HOPS
        self._seen.stamp(announcement, self._peers.own.address)
        await self._send(address, announcement)

    async def send_farewell(self) -> None:
        """Tell the neighbours that this controller leaves."""
        leaving = write_member(self._peers.own)
        leaving.left = True
        announcement = pb.Announcement(suspicion=leaving)
        self._seen.stamp(announcement, self._peers.own.address)
        await self._forward(announcement)

    async def _forward(self, announcement: pb.Announcement) -> None:
        """Send an announcement to both ring neighbours and a random member."""
        chosen = dict.fromkeys(self._peers.list_ring())
        chosen[self._generator.choice(self._peers.list_live())] = None
        chosen.pop(self._peers.own.address, None)
        chosen.pop(announcement.origin, None)
        async with anyio.create_task_group() as group:
            for address in chosen:
                group.start_soon(self._send, address, announcement)

    async def _send(self, address: str, announcement: pb.Announcement) -> None:
        try:
            await self._transport.announce(address, announcement)
        except PeerError:
            self._note_failure(address)
