"""Manage the life cycle of the components of a process."""

import abc
import functools
import random
import signal
import types
from collections.abc import AsyncIterator, Sequence

import anyio

from cassiarail.core.clock import Clock, LoopClock
from cassiarail.core.events import (
    APPLICATION_STARTED,
    APPLICATION_STOPPED,
    APPLICATION_STOPPING,
    emit_event,
)
from cassiarail.core.supervisor import ChildSpec, Supervisor

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Component(abc.ABC):
    """A part of a process with its own life cycle.

    The application calls ``start`` on each component in order, runs all
    ``run`` methods under a supervisor, and on shutdown calls ``drain`` and
    then ``stop`` on each in reverse order.
    """

    name: str = 'component'

    async def start(self) -> None:
        """Acquire the resources of the component."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Run until cancelled; the supervisor restarts it after a crash."""

    async def drain(self) -> None:
        """Refuse new work and complete the work in progress."""

    async def stop(self) -> None:
        """Release the resources that ``start`` acquired."""

    def is_ready(self) -> bool:
        """Return whether the component can serve."""
        return True


class Application:
    """Start, supervise and gracefully stop the components of a process.

    ``stop_requested_at`` is the clock's monotonic time of the first stop
    signal or request, in seconds; ``None`` before.
    """

    def __init__(
        self,
        name: str,
        components: Sequence[Component],
        clock: Clock | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self.name = name
        self.components = tuple(components)
        self._clock = clock or LoopClock()
        self._generator = generator or random.Random()
        self._stop_requested = anyio.Event()
        self.started = anyio.Event()
        self.stop_requested_at: float | None = None

    def request_stop(self) -> None:
        """Request a graceful stop."""
        self._record_stop_time()
        self._stop_requested.set()

    def is_ready(self) -> bool:
        """Return whether the process can serve and is not stopping."""
        if self._stop_requested.is_set() or not self.started.is_set():
            return False
        return all(component.is_ready() for component in self.components)

    async def run(self, *, handle_signals: bool = False) -> None:
        """Run until a stop is requested, then drain and stop all components."""
        # A signal that arrives while components start is handled afterwards.
        signals = _STOP_SIGNALS if handle_signals else ()
        with anyio.open_signal_receiver(*signals) as received:
            for number in signals:
                self._record_signal(number)
            await self._run(received)

    def _record_signal(self, number: signal.Signals) -> None:
        """Record when a signal arrives, before the event loop handles it."""
        loop_handler = signal.getsignal(number)
        signal.signal(
            number, functools.partial(self._receive_signal, loop_handler)
        )
        signal.siginterrupt(number, False)

    def _receive_signal(
        self,
        loop_handler: object,
        number: int,
        frame: types.FrameType | None,
    ) -> None:
        self._record_stop_time()
        if callable(loop_handler):
            loop_handler(number, frame)

    def _record_stop_time(self) -> None:
        if self.stop_requested_at is None:
            self.stop_requested_at = self._clock.monotonic()

    async def _run(self, signals: AsyncIterator[signal.Signals]) -> None:
        started_components: list[Component] = []
        try:
            for component in self.components:
                await component.start()
                started_components.append(component)
            await self._serve(signals)
        finally:
            with anyio.CancelScope(shield=True):
                for component in reversed(started_components):
                    await component.stop()
            emit_event(APPLICATION_STOPPED, application=self.name)

    async def _serve(self, signals: AsyncIterator[signal.Signals]) -> None:
        supervisor = Supervisor(
            self.name,
            [
                ChildSpec(component.name, component.run)
                for component in self.components
            ],
            self._clock,
            self._generator,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_signals, signals)
            group.start_soon(supervisor.run)
            self.started.set()
            emit_event(APPLICATION_STARTED, application=self.name)
            await self._stop_requested.wait()
            emit_event(APPLICATION_STOPPING, application=self.name)
            for component in reversed(self.components):
                await component.drain()
            group.cancel_scope.cancel()

    async def _watch_signals(
        self, signals: AsyncIterator[signal.Signals]
    ) -> None:
        await anext(signals)
        self.request_stop()
