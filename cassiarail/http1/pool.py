"""Pool connections to servers."""

import asyncio
from typing import NamedTuple

from cassiarail.core.exceptions import ConnectFailedError
from cassiarail.http1.connections import ClientConnection

_MAX_PORT = 65_535


class Address(NamedTuple):
    """Hold an IPv4 address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse ``IP:port``; raise ``ValueError`` for anything else."""
        host, separator, port = text.rpartition(':')
        if not (host and separator and port.isdecimal()):
            raise ValueError(f'not an address: {text!r}')
        if not 0 < int(port) <= _MAX_PORT:
            raise ValueError(f'not a port: {text!r}')
        return cls(host, int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class PoolRules(NamedTuple):
    """Limits of a connection pool; times are in seconds.

    ``idle_s`` applies if a server announces no Keep-Alive timeout;
    ``idle_margin_s`` is subtracted from an announced timeout.
    """

    connect_timeout_s: float
    idle_s: float = 4.0
    idle_margin_s: float = 1.0
    max_idle: int = 32


class ConnectionPool:
    """Reuse connections, the most recently used one first."""

    def __init__(self, rules: PoolRules) -> None:
        self.opened = 0
        self._rules = rules
        self._idle: dict[Address, list[ClientConnection]] = {}
        self._in_use: dict[ClientConnection, Address] = {}

    async def acquire(
        self,
        address: Address,
        max_idle_s: float | None = None,
    ) -> ClientConnection:
        """Return a connection that was idle for less than ``max_idle_s``.

        With ``None``, only the server's idle timeout applies. Raises
        ``ConnectFailedError``, before any byte was sent.
        """
        reused = self._pop_idle(address, max_idle_s)
        connection = reused or await self._open(address)
        self._in_use[connection] = address
        return connection

    def has_idle(self, address: Address, max_idle_s: float | None) -> bool:
        """Return whether ``acquire`` would reuse a connection now."""
        idle = self._idle.get(address)
        if not idle:
            return False
        newest = idle[-1]
        age = _now() - newest.idle_since
        if max_idle_s is not None and age >= max_idle_s:
            return False
        return age < self._find_idle_limit(newest) and not newest.is_closed

    async def connect(self, address: Address) -> None:
        """Open a connection and keep it for the next request.

        Raises ``ConnectFailedError``.
        """
        connection = await self._open(address)
        self._in_use[connection] = address
        self.release(connection)

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        address = self._in_use.pop(connection, None)
        if address is None or not connection.finish():
            connection.abort('connection is not reusable')
            return
        idle = self._idle.setdefault(address, [])
        if len(idle) >= self._rules.max_idle:
            connection.abort('too many idle connections')
            return
        connection.idle_since = _now()
        idle.append(connection)

    def discard(self, connection: ClientConnection, reason: str) -> None:
        """Close a connection that is in use."""
        self._in_use.pop(connection, None)
        connection.abort(reason)

    def close_idle(self, address: Address | None = None) -> None:
        """Close the idle connections of one address, or all of them."""
        addresses = list(self._idle) if address is None else [address]
        for idle_address in addresses:
            for connection in self._idle.pop(idle_address, []):
                connection.abort('idle connection was closed')

    def sweep(self) -> None:
        """Close connections whose server may close them soon."""
        now = _now()
        for address in list(self._idle):
            for connection in list(self._idle.get(address, ())):
                if now - connection.idle_since >= self._find_idle_limit(
                    connection
                ):
                    connection.abort('idle for too long')

    def _pop_idle(
        self,
        address: Address,
        max_idle_s: float | None,
    ) -> ClientConnection | None:
        now = _now()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle[-1]
            age = now - connection.idle_since
            if max_idle_s is not None and age >= max_idle_s:
                return None
            idle.pop()
            if (
                age < self._find_idle_limit(connection)
                and not connection.is_closed
            ):
                return connection
            connection.abort('idle for too long')
        return None

    def _find_idle_limit(self, connection: ClientConnection) -> float:
        announced = connection.keep_alive_s
        if announced is None:
            return self._rules.idle_s
        return max(0, announced - self._rules.idle_margin_s)

    async def _open(self, address: Address) -> ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._rules.connect_timeout_s):
                _transport, connection = await loop.create_connection(
                    lambda: ClientConnection(self._remove),
                    address.host,
                    address.port,
                )
        except OSError as error:
            raise ConnectFailedError(
                f'{address}: {error.__class__.__name__} {error}',
                is_refused=isinstance(error, ConnectionRefusedError),
            ) from error
        self.opened += 1
        return connection

    def _remove(self, connection: ClientConnection) -> None:
        self._in_use.pop(connection, None)
        for idle in self._idle.values():
            if connection in idle:
                idle.remove(connection)


def _now() -> float:
    return asyncio.get_running_loop().time()
