"""Run the periodic tasks of a process."""

import asyncio
import pathlib
import signal
import time
from collections.abc import Callable, Sequence

from cassiarail.conf.edge import EdgeSettings, load_edge_settings
from cassiarail.conf.files import RejectedSettingsError
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.lifecycle import Component
from cassiarail.edge.events import (
    EVENT_LOOP_LATE,
    PROCESS_SUSPENDED,
    SETTINGS_REJECTED,
    SETTINGS_RELOADED,
)

_SWEEP_INTERVAL_S = 0.25
_SETTINGS_INTERVAL_S = 1.0
# A tick that is later than this delays callers and updates of targets.
_LATE_S = 0.2
# A tick that is later than this means that the process was suspended.
_SUSPENSION_S = 1.0
_NO_STAMP = (0, 0)


class Upkeep(Component):
    """Remove what has expired, and detect suspensions of the process."""

    name = 'upkeep'

    def __init__(
        self,
        clock: Clock,
        sweeps: Sequence[Callable[[], None]],
        on_resume: Callable[[], None],
    ) -> None:
        """Require a clock that includes the time of suspensions."""
        self._clock = clock
        self._sweeps = sweeps
        self._on_resume = on_resume

    async def run(self) -> None:
        """Run the sweeps until cancelled."""
        while True:
            started_at = self._clock.monotonic()
            await self._clock.sleep(_SWEEP_INTERVAL_S)
            late_s = self._clock.monotonic() - started_at - _SWEEP_INTERVAL_S
            if late_s > _SUSPENSION_S:
                emit_event(PROCESS_SUSPENDED, seconds=late_s)
                self._on_resume()
            elif late_s > _LATE_S:
                emit_event(EVENT_LOOP_LATE, seconds=late_s)
            for sweep in self._sweeps:
                sweep()


class SettingsWatch(Component):
    """Reload the settings file when it changes or at SIGHUP."""

    name = 'settings'

    def __init__(
        self,
        path: pathlib.Path,
        clock: Clock,
        apply: Callable[[EdgeSettings], None],
        applied: EdgeSettings,
    ) -> None:
        """Compare with ``applied``, which was read earlier in the start."""
        self._applied = applied
        self._path = path
        self._clock = clock
        self._apply = apply
        self._last_stamp = _NO_STAMP
        self._sighup = asyncio.Event()

    async def start(self) -> None:
        """Receive SIGHUP, which is ignored until then."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._sighup.set)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_SETTINGS_INTERVAL_S):
                    await self._sighup.wait()
            except TimeoutError:
                self._reload(is_signalled=False)
            else:
                self._sighup.clear()
                self._reload(is_signalled=True)

    def _reload(self, *, is_signalled: bool) -> None:
        stamp = self._read_stamp()
        if stamp == self._last_stamp and not is_signalled:
            return
        self._last_stamp = stamp
        started_at = time.perf_counter()
        try:
            settings = load_edge_settings(self._path)
        except RejectedSettingsError as error:
            emit_event(SETTINGS_REJECTED, error=str(error))
            return
        if settings == self._applied and not is_signalled:
            return
        self._applied = settings
        self._apply(settings)
        emit_event(
            SETTINGS_RELOADED,
            signal=is_signalled,
            seconds=time.perf_counter() - started_at,
        )

    def _read_stamp(self) -> tuple[int, int]:
        try:
            stat = self._path.stat()
        except OSError:
            # While it is being replaced, the file may be missing for a moment.
            return _NO_STAMP
        return (stat.st_mtime_ns, stat.st_size)
