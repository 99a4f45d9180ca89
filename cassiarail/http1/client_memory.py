"""Limit the bytes that the clients of a listener make it keep."""

import http
from collections.abc import Callable

from cassiarail.conf.global_defaults import CLIENT_MEMORY_BYTES
from cassiarail.http1.assembly import UnreadRequestError
from cassiarail.limits.byte_budget import (
    ByteBudget,
    ByteReservation,
    StalestFirst,
)

# Bodies that are held back end after the read timeout (3 s) at the latest, and
# earlier if others need their memory.
_RETRY_S = 1.0
# Fewer bytes that were read ahead aren't counted.
_MIN_AHEAD_BYTES = 4096


def build_client_memory(
    limit_bytes: int = CLIENT_MEMORY_BYTES,
) -> ByteBudget:
    """Return a budget for the bytes of all clients of a listener."""
    return ByteBudget(limit_bytes, StalestFirst())


def build_memory_error() -> UnreadRequestError:
    """Return the refusal of a request whose body finds no memory."""
    return UnreadRequestError(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'no memory is left for the request',
        _RETRY_S,
    )


class ConnectionMemory:
    """Hold the memory of one connection.

    It keeps a body, bytes that were read ahead of it, and bytes that its
    client doesn't read.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self.client = ''
        self._budget = budget
        self._body: ByteReservation | None = None
        self._unsent: ByteReservation | None = None
        self._ahead: ByteReservation | None = None

    def take_body(self, size: int, revoke: Callable[[], None]) -> None:
        """Add bytes of a body; ``revoke`` is called if others need them.

        Raises ``UnreadRequestError`` if there is no room.
        """
        if self._body is None:
            self._body = self._budget.open(self.client, revoke)
        if not self._body.take(size):
            raise build_memory_error()

    def keep_body(self) -> None:
        """Protect a complete body; its request may be running."""
        if self._body is not None:
            self._body.keep()

    def release_body(self) -> None:
        """Give back the memory of a request that has ended."""
        if self._body is not None:
            self._body.release()
            self._body = None

    def hold_unsent(self, size: int, abort: Callable[[], None]) -> None:
        """Set the bytes that the client doesn't read, or ``abort`` at once."""
        if self._unsent is None:
            self._unsent = self._budget.open(self.client, abort)
        if not self._unsent.hold(size):
            abort()

    def release_unsent(self) -> None:
        """Give back the memory of bytes that were sent."""
        if self._unsent is not None:
            self._unsent.release()
            self._unsent = None

    def hold_ahead(self, size: int, revoke: Callable[[], None]) -> None:
        """Set the bytes that were read ahead, or ``revoke`` them at once.

        A few bytes are as much as any connection needs.
        """
        if size < _MIN_AHEAD_BYTES:
            self.release_ahead()
            return
        if self._ahead is None:
            self._ahead = self._budget.open(self.client, revoke)
        if not self._ahead.hold(size):
            revoke()

    def release_ahead(self) -> None:
        """Give back the memory of bytes that were read ahead."""
        if self._ahead is not None:
            self._ahead.release()
            self._ahead = None

    def release(self) -> None:
        """Give everything back."""
        self.release_body()
        self.release_unsent()
        self.release_ahead()
