"""Order the requests that clients sent ahead.

A request that a client sends once it has its last response is handled at once.
One that was sent ahead waits for its turn: a few begin in each pass of the
event loop, and the clients take turns, however many connections each has.
"""

import collections
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

_Member = TypeVar('_Member', bound=Hashable)

# Few, so that the other events of a pass aren't delayed by a crowd.
STARTS_PER_PASS = 4


class TurnQueue(Generic[_Member]):
    """Hold the members that wait, by client; the clients take turns."""

    def __init__(self) -> None:
        # The client whose turn is next comes first, and so do its members.
        self._clients: collections.OrderedDict[str, dict[_Member, None]]
        self._clients = collections.OrderedDict()

    def __bool__(self) -> bool:
        """Return whether any member waits."""
        return bool(self._clients)

    def add(self, client: str, member: _Member) -> None:
        """Let a member of a client wait behind the others of the client."""
        self._clients.setdefault(client, {})[member] = None

    def discard(self, client: str, member: _Member) -> None:
        """Let a member not wait any more."""
        members = self._clients.get(client, {})
        members.pop(member, None)
        if not members:
            self._clients.pop(client, None)

    def take(self) -> _Member:
        """Return the next member; raise ``LookupError`` if none waits."""
        if not self._clients:
            raise LookupError
        client, members = next(iter(self._clients.items()))
        member = next(iter(members))
        self.discard(client, member)
        if client in self._clients:
            self._clients.move_to_end(client)
        return member


def _ignore(*_facts: object) -> None:
    """Take the place of a callback to an owner that has ended."""


class TurnPasses:
    """Start a few of the turns that are awaited in each pass of the loop."""

    def __init__(
        self, call_soon: Callable[[Callable[[], None]], object]
    ) -> None:
        """``call_soon`` calls back in the next pass."""
        self.queue: TurnQueue[Turn] = TurnQueue()
        self._call_soon = call_soon
        self._is_scheduled = False

    def add(self, turn: 'Turn') -> None:
        """Start a turn in one of the next passes."""
        self.queue.add(turn.client, turn)
        self._schedule()

    def _schedule(self) -> None:
        if self.queue and not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        try:
            for _ in range(STARTS_PER_PASS):
                if self.queue:
                    self.queue.take().begin()
        finally:
            self._schedule()


class Turn:
    """Let one connection of a client wait to handle what it sent ahead."""

    def __init__(self, passes: TurnPasses, start: Callable[[], None]) -> None:
        """Call ``start`` when it is the connection's turn."""
        self.client = ''
        self.is_awaited = False
        self._passes = passes
        self._start = start

    def wait(self) -> None:
        """Wait for a turn."""
        self.is_awaited = True
        self._passes.add(self)

    def begin(self) -> None:
        """Start, as it is the connection's turn."""
        self.is_awaited = False
        self._start()

    def leave(self) -> None:
        """Wait no more."""
        if self.is_awaited:
            self.is_awaited = False
            self._passes.queue.discard(self.client, self)

    def close(self) -> None:
        """Wait no more, and forget the connection."""
        self.leave()
        self._start = _ignore
