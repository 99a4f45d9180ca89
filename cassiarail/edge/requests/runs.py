"""Find out whether a target has ended a run that this host gave up.

A target drops a request when it sees that its connection is closed. One that
is stalled or overloaded sees it late, and a few don't look. Until its own
report shows the end, the request must not go on at another target.
"""

import asyncio
import contextlib
import enum
import http
from collections.abc import Iterator
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import (
    ConnectFailedError,
    ConnectionLostError,
    RequestError,
)
from cassiarail.edge.dialect import Dialect, EngineActivity
from cassiarail.edge.events import RUN_MAY_GO_ON
from cassiarail.edge.registry.targets import Target
from cassiarail.http1.calls import call_server
from cassiarail.http1.pool import ConnectionPool, PoolRules
from cassiarail.limits.crash_evidence import TargetIdentity

_CONNECT_TIMEOUT_S = 0.5
_REPORT_TIMEOUT_S = 0.4
# A report with hundreds of runs has a tenth of this.
_MAX_REPORT_BYTES = 262_144


class RunState(enum.Enum):
    """Name what a target's report says of a run."""

    ENDED = 'ended'
    UNREACHABLE = 'unreachable'
    LISTED = 'listed'
    QUEUED = 'maybe queued'
    UNKNOWN = 'no usable report'


_ENDED_STATES = frozenset((RunState.ENDED, RunState.UNREACHABLE))


class RunRules(NamedTuple):
    """Define how long the end of a run is waited for, in seconds.

    Reports describe a target as it was some hundred milliseconds ago, so the
    first one is read ``report_lag_s`` after the close, and each further one
    ``poll_interval_s`` later, for ``limit_s`` or for the patience of the
    request's caller, whichever is longer.
    """

    report_lag_s: float = 0.3
    poll_interval_s: float = 0.2
    limit_s: float = 1.3


class _ReportCache:
    """Hold the newest report of a target, or why there is none."""

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.users = 0
        self.requested_at = float('-inf')
        self.newest: EngineActivity | RunState = RunState.UNKNOWN


class RunMonitor:
    """Wait for the end of runs whose connections this host has closed."""

    def __init__(
        self, dialect: Dialect, clock: Clock, rules: RunRules | None = None
    ) -> None:
        """Open a connection for each report.

        On a kept connection, the next response may be a copy of an older
        report.
        """
        self._dialect = dialect
        self._clock = clock
        self._rules = rules or RunRules()
        self._pool = ConnectionPool(PoolRules(_CONNECT_TIMEOUT_S, max_idle=0))
        self._caches: dict[TargetIdentity, _ReportCache] = {}

    @property
    def limit_s(self) -> float:
        """Return for how long requests wait at least for the end of a run."""
        return self._rules.limit_s

    async def wait_for_end(
        self, request_id: str, target: Target, patience_s: float = 0
    ) -> bool:
        """Return whether a run has ended or its target can't be reached.

        A target that can't be reached can't be told to end the run either.
        Requests that wait for the same target share its reports.
        """
        with self._use_cache(target) as cache:
            state = await self._poll(request_id, target, cache, patience_s)
        if state in _ENDED_STATES:
            return True
        emit_event(
            RUN_MAY_GO_ON,
            request=request_id,
            target=target.instance,
            state=state.value,
        )
        return False

    async def has_queue(self, target: Target) -> bool:
        """Return whether a target reports that requests wait there."""
        with self._use_cache(target) as cache:
            report = await self._read_shared(target, cache)
        return not isinstance(report, RunState) and report.waiting > 0

    @contextlib.contextmanager
    def _use_cache(self, target: Target) -> Iterator[_ReportCache]:
        """Keep the report of a target while requests read it."""
        cache = self._caches.setdefault(target.identity, _ReportCache())
        cache.users += 1
        try:
            yield cache
        finally:
            cache.users -= 1
            if not cache.users:
                self._caches.pop(target.identity, None)

    async def _poll(
        self,
        request_id: str,
        target: Target,
        cache: _ReportCache,
        patience_s: float,
    ) -> RunState:
        """Read reports until one shows the end of a run, or time is up."""
        rules = self._rules
        until = self._clock.monotonic() + max(rules.limit_s, patience_s)
        await self._clock.sleep(rules.report_lag_s)
        while True:
            report = await self._read_shared(target, cache)
            state = _find_state(request_id, target, report)
            is_late = self._clock.monotonic() + rules.poll_interval_s > until
            if is_late or state in _ENDED_STATES:
                return state
            await self._clock.sleep(rules.poll_interval_s)

    async def _read_shared(
        self, target: Target, cache: _ReportCache
    ) -> EngineActivity | RunState:
        """Return a report that was requested now or later."""
        asked_at = self._clock.monotonic()
        async with cache.lock:
            if cache.requested_at < asked_at:
                await self._refresh(target, cache)
            return cache.newest

    async def _refresh(self, target: Target, cache: _ReportCache) -> None:
        next_at = cache.requested_at + self._rules.poll_interval_s
        await self._clock.sleep(max(0, next_at - self._clock.monotonic()))
        requested_at = self._clock.monotonic()
        cache.newest = await self._read(target)
        # Not before: the request that reads it may be cancelled.
        cache.requested_at = requested_at

    async def _read(self, target: Target) -> EngineActivity | RunState:
        try:
            response = await call_server(
                self._pool,
                target.address,
                (self._dialect.encode_report_request(target.instance), b''),
                _REPORT_TIMEOUT_S,
                max_bytes=_MAX_REPORT_BYTES,
            )
        except ConnectFailedError as error:
            # A target may refuse new connections and still finish its runs.
            if isinstance(error.__cause__, TimeoutError):
                return RunState.UNREACHABLE
            return RunState.UNKNOWN
        except ConnectionLostError:
            return RunState.UNKNOWN
        if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            # Another engine has the address.
            return RunState.ENDED
        if response.status != http.HTTPStatus.OK:
            return RunState.UNKNOWN
        try:
            return self._dialect.decode_activity(response.body)
        except RequestError:
            return RunState.UNKNOWN


def _find_state(
    request_id: str, target: Target, report: EngineActivity | RunState
) -> RunState:
    if isinstance(report, RunState):
        return report
    if report.born_ms not in {0, target.born_ms}:
        return RunState.ENDED
    if request_id in report.running:
        return RunState.LISTED
    # Requests that wait, also preempted ones, are counted, not listed.
    return RunState.QUEUED if report.waiting else RunState.ENDED
