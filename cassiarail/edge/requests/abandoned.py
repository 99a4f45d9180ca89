"""Read the responses of attempts whose callers have left."""

import asyncio

from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import ConnectionLostError
from cassiarail.edge.dialect import Dialect
from cassiarail.edge.events import ABANDONED_RESPONSE_LOST
from cassiarail.edge.requests.jobs import Job
from cassiarail.edge.requests.matching import ResponseMatcher
from cassiarail.http1.connections import ClientConnection
from cassiarail.http1.pool import ConnectionPool


class AbandonedAttempts:
    """End attempts whose callers disconnected or that timed out."""

    def __init__(self, pool: ConnectionPool, dialect: Dialect) -> None:
        self._pool = pool
        self._dialect = dialect
        self._tasks: set[asyncio.Task[None]] = set()

    def abandon(self, job: Job, connection: ClientConnection) -> None:
        """Close a connection, or read its response in the background."""
        if job.route.may_repeat or job.route.is_stream:
            self._pool.discard(connection, 'caller disconnected')
            return
        # Closing the connection could leave a request that must not run twice
        # half done at its target.
        remaining_s = max(0, job.deadline - asyncio.get_running_loop().time())
        task = asyncio.create_task(
            self._drain(connection, remaining_s, job.request.request_id),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _drain(
        self,
        connection: ClientConnection,
        remaining_s: float,
        request_id: str,
    ) -> None:
        try:
            async with asyncio.timeout(remaining_s):
                await connection.read_head(
                    ResponseMatcher(self._dialect, request_id, connection)
                )
                await connection.discard_body()
        except (TimeoutError, ConnectionLostError) as error:
            emit_event(
                ABANDONED_RESPONSE_LOST, request=request_id, error=repr(error)
            )
            self._pool.discard(connection, 'caller disconnected')
            return
        self._pool.release(connection)
