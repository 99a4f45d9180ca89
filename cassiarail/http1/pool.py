"""Keep connections to servers for reuse."""

import asyncio
from typing import NamedTuple

from cassiarail.core.exceptions import ConnectFailedError
from cassiarail.http1.connections import ClientConnection


class Address(NamedTuple):
    """Hold an IPv4 address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Read ``IP:port``; raise ``ValueError`` for anything else."""
        host, separator, port = text.rpartition(':')
        if not (host and separator and port.isdecimal()):
            raise ValueError(f'not an address: {text!r}')
        return cls(host, int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class PoolRules(NamedTuple):
    """Bound connecting and idling; times are seconds.

    ``idle_s`` applies where a server announces no time of its own, and
    ``idle_margin_s`` is taken off the time that it announces.
    """

    connect_timeout_s: float
    idle_s: float = 4.0
    idle_margin_s: float = 1.0
    max_idle: int = 32


class ConnectionPool:
    """Lend connections; the one used last is lent first."""

    def __init__(self, rules: PoolRules) -> None:
        self.opened = 0
        self._rules = rules
        self._idle: dict[Address, list[ClientConnection]] = {}
        self._lent: dict[ClientConnection, Address] = {}

    async def acquire(
        self,
        address: Address,
        max_idle_s: float | None = None,
    ) -> ClientConnection:
        """Return a connection that was idle for less than ``max_idle_s``.

        ``None`` accepts any that the server should still keep open. Raises
        ``ConnectFailedError``; then no byte has left.
        """
        kept = self._take_idle(address, max_idle_s)
        connection = kept or await self._open(address)
        self._lent[connection] = address
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Take a connection back, or drop it if it can't be used again."""
        address = self._lent.pop(connection, None)
        if address is None or not connection.finish():
            connection.abort('connection cannot be used again')
            return
        idle = self._idle.setdefault(address, [])
        if len(idle) >= self._rules.max_idle:
            connection.abort('too many idle connections')
            return
        connection.idle_since = _now()
        idle.append(connection)

    def discard(self, connection: ClientConnection, reason: str) -> None:
        """Drop a connection that is in use."""
        self._lent.pop(connection, None)
        connection.abort(reason)

    def close_idle(self, address: Address | None = None) -> None:
        """Drop the idle connections of one address, or all of them."""
        addresses = list(self._idle) if address is None else [address]
        for each in addresses:
            for connection in self._idle.pop(each, []):
                connection.abort('idle connection is no longer wanted')

    def sweep(self) -> None:
        """Drop connections whose server may close them soon."""
        now = _now()
        for address in list(self._idle):
            for connection in list(self._idle.get(address, ())):
                if now - connection.idle_since >= self._keep_s(connection):
                    connection.abort('idle for too long')

    def _take_idle(
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
            if age < self._keep_s(connection) and not connection.is_closed:
                return connection
            connection.abort('idle for too long')
        return None

    def _keep_s(self, connection: ClientConnection) -> float:
        announced = connection.keep_alive_s
        if announced is None:
            return self._rules.idle_s
        return max(0, announced - self._rules.idle_margin_s)

    async def _open(self, address: Address) -> ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._rules.connect_timeout_s):
                _transport, connection = await loop.create_connection(
                    lambda: ClientConnection(self._forget),
                    address.host,
                    address.port,
                )
        except OSError as error:
            raise ConnectFailedError(
                f'{address}: {error.__class__.__name__} {error}',
            ) from error
        self.opened += 1
        return connection

    def _forget(self, connection: ClientConnection) -> None:
        self._lent.pop(connection, None)
        for idle in self._idle.values():
            if connection in idle:
                idle.remove(connection)


def _now() -> float:
    return asyncio.get_running_loop().time()
