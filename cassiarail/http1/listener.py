"""Accept client connections and handle their requests."""

import asyncio
import collections
import contextlib
import http
import math
import os
import socket
import ssl
from collections.abc import Awaitable, Callable, Iterator

from cassiarail.conf.global_defaults import CALLER_CONNECTIONS_MAX
from cassiarail.core.events import emit_event
from cassiarail.http1.assembly import ClientLimits
from cassiarail.http1.client_memory import build_client_memory
from cassiarail.http1.events import (
    CLOSE_FAILED,
    HANDLER_FAILED,
    RESPONSE_MISSING,
)
from cassiarail.http1.exchanges import Exchange, ResponseProgress
from cassiarail.http1.pool import Address
from cassiarail.http1.refusals import (
    RefusalRenderer,
    render_plain_refusal,
)
from cassiarail.http1.server_connections import (
    ConnectionOwner,
    ServerConnection,
)
from cassiarail.http1.states import ConnectionState
from cassiarail.http1.turns import TurnPasses
from cassiarail.limits.byte_budget import ByteBudget

ExchangeHandler = Callable[[Exchange], Awaitable[None]]
_BACKLOG = 1024
_IN_PROGRESS = frozenset(
    (ConnectionState.READING, ConnectionState.RESPONDING),
)


class Http1Listener(ConnectionOwner):
    """Listen on one address and run a task for each request."""

    def __init__(
        self,
        address: Address,
        on_exchange: ExchangeHandler,
        limits: Callable[[], ClientLimits] = ClientLimits,
        count_unread: Callable[[int, str], None] | None = None,
        memory: ByteBudget | None = None,
        max_connections: int = CALLER_CONNECTIONS_MAX,
        render_refusal: RefusalRenderer = render_plain_refusal,
    ) -> None:
        """Call ``limits`` for each request, ``count_unread`` on rejections.

        ``render_refusal`` builds the response to a rejected request.

        ``memory`` limits the bodies of all requests, and the responses that
        clients don't read. Above ``max_connections``, the connection that has
        been idle for the longest time is closed, or the one that has held back
        the rest of a head for the longest time.
        """
        self.closed_at_limit = 0
        self.limit_counts: collections.Counter[str] = collections.Counter()
        self._max_connections = max_connections
        self.limits = limits
        self.render_refusal = render_refusal
        self.memory = memory or build_client_memory()
        self.turns = TurnPasses(_call_soon)
        self.is_draining = False
        self._address = address
        self._on_exchange = on_exchange
        self._count_unread = count_unread
        # Ordered by the end of the last response, the longest idle one first.
        self._connections: dict[ServerConnection, None] = {}
        self._server: asyncio.Server | None = None

    @property
    def in_progress(self) -> int:
        """Return the number of requests whose response was not sent yet.

        This includes requests of which only a part was read.
        """
        return sum(
            connection.state in _IN_PROGRESS or connection.has_unsent_bytes
            for connection in self._connections
        )

    @property
    def open_connections(self) -> int:
        """Return the number of client connections."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Return the port that the listener is bound to, or its setting."""
        if self._server is None or not self._server.sockets:
            return self._address.port
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def start(self, tls: ssl.SSLContext | None = None) -> None:
        """Start listening, with TLS if a context is given."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._build_connection,
            self._address.host,
            self._address.port,
            backlog=_BACKLOG,
            ssl=tls,
        )

    def stop(self) -> None:
        """Stop listening and close all connections.

        Requests of which only a part was read are refused.
        """
        self.is_draining = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            try:
                connection.stop()
            except Exception as error:
                # The other connections still need their responses.
                emit_event(CLOSE_FAILED, error=repr(error))
                connection.drop()

    def refuse_unread(self) -> None:
        """Refuse the requests of which only a part was read."""
        for connection in list(self._connections):
            connection.refuse_unread()

    async def stop_listening(self) -> None:
        """Accept the connections that wait, and no others after them."""
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        # The kernel would reset these connections.
        accepted = list(_accept_waiting(self._server))
        self._server.close()
        for client in accepted:
            with contextlib.suppress(OSError):  # its client has left
                await loop.connect_accepted_socket(
                    self._build_connection, client
                )
        # The loop adds the last connections that it accepted itself.
        await asyncio.sleep(0)

    def close_idle(self, idle_s: float) -> None:
        """Close the connections that have been idle for ``idle_s`` seconds."""
        before = asyncio.get_running_loop().time() - idle_s
        for connection in list(self._connections):
            if connection.is_idle and connection.waiting_since <= before:
                connection.close()

    async def handle_exchange(self, exchange: Exchange) -> None:
        """Handle one request; end it with an error if that fails."""
        number = exchange.number
        try:
            await self._on_exchange(exchange)
        except Exception as error:
            emit_event(
                HANDLER_FAILED,
                peer=exchange.peer,
                target=exchange.head.target.decode('latin-1'),
                error=repr(error),
            )
        finally:
            # A handler may go on while the next request is being handled.
            if exchange.number == number:
                self._end_unfinished(exchange)

    def _end_unfinished(self, exchange: Exchange) -> None:
        """End an exchange whose client would wait for a response."""
        if exchange.progress is ResponseProgress.ENDED:
            return
        if exchange.is_connected:
            emit_event(
                RESPONSE_MISSING,
                peer=exchange.peer,
                target=exchange.head.target.decode('latin-1'),
                progress=exchange.progress.value,
            )
        if exchange.progress is ResponseProgress.NOT_BEGUN:
            status = http.HTTPStatus.INTERNAL_SERVER_ERROR
            exchange.respond(status, [], b'internal error')
        else:
            exchange.abort()

    def count_unread(self, status: int, reason: str) -> None:
        """Report a request that could not be read."""
        if self._count_unread is not None:
            self._count_unread(status, reason)

    def count_limit(self, name: str) -> None:
        """Count that a connection has reached a limit."""
        self.limit_counts[name] += 1

    def add(self, connection: ServerConnection) -> None:
        """Register an open connection, and close another at the limit."""
        self._connections[connection] = None
        if len(self._connections) <= self._max_connections:
            return
        self.closed_at_limit += 1
        self.count_limit('connections')
        dispensable = self._find_dispensable(connection)
        # Tells the caller of a head, if it is one.
        dispensable.refuse_slow()
        dispensable.drop()

    def record_use(self, connection: ServerConnection) -> None:
        """Record that a response on a connection has ended."""
        if connection in self._connections:
            self._connections.pop(connection)
            self._connections[connection] = None

    def remove(self, connection: ServerConnection) -> None:
        """Unregister a closed connection."""
        self._connections.pop(connection, None)

    def _build_connection(self) -> ServerConnection:
        return ServerConnection(self)

    def _find_dispensable(self, added: ServerConnection) -> ServerConnection:
        """Return the connection to close in place of one that was added.

        It has been idle, or has held back the rest of a head, for the longest
        time. If there is none, it is one that has only to be closed by its
        client, or else the added one.
        """
        stillest = None
        stillest_since = math.inf
        for connection in self._connections:
            if connection.waiting_since >= stillest_since:
                break  # so are the others
            since = connection.still_since
            is_added = connection is added
            if since is None or since >= stillest_since or is_added:
                continue
            stillest, stillest_since = connection, since
        if stillest is not None:
            return stillest
        lingering = (each for each in self._connections if each.is_lingering)
        return next(lingering, added)


def _call_soon(callback: Callable[[], None]) -> object:
    """Call back in the next pass of the loop."""
    return asyncio.get_running_loop().call_soon(callback)


def _accept_waiting(server: asyncio.Server) -> Iterator[socket.socket]:
    """Return the connections that the kernel holds for a server.

    There are none left, or no descriptors, once accepting fails.
    """
    for listening in server.sockets:
        with (
            contextlib.suppress(OSError),
            socket.socket(fileno=os.dup(listening.fileno())) as duplicate,
        ):
            # Others may go on connecting all the while.
            for _ in range(_BACKLOG):
                client, _address = duplicate.accept()
                client.setblocking(False)
                yield client
