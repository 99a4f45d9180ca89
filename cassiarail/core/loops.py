"""Run functions on a real or a virtual-time event loop.

On a virtual-time loop, tests and randomised runs cover hours in seconds with
a reproducible order of events: whenever no task is ready, the time jumps to
the next timer. It does no real input or output.
"""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import uvloop

_Returned = TypeVar('_Returned')
_MAX_WAIT_S = 86_400


class DeadlockError(RuntimeError):
    """Report a virtual-time loop without ready tasks or timers."""


class _VirtualSelector(selectors.SelectSelector):
    """Advance virtual time where a real selector would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s = float(0)

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return immediately and add the timeout to the elapsed time."""
        # ``anyio.sleep_forever`` sets a timer at infinity, for which the loop
        # passes its maximum timeout.
        if timeout is None or timeout >= _MAX_WAIT_S:
            raise DeadlockError('no task can run and no timer is set')
        self.elapsed_s += max(0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run tasks in virtual time."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return self._virtual_selector.elapsed_s


def run_virtual(
    function: Callable[..., Awaitable[_Returned]],
    *positional: Any,
) -> _Returned:
    """Run an async function on a virtual-time loop."""
    return anyio.run(
        function,
        *positional,
        backend_options={'loop_factory': VirtualTimeLoop},
    )


def run_real(
    function: Callable[..., Awaitable[_Returned]],
    *positional: Any,
) -> _Returned:
    """Run an async function on a uvloop event loop."""
    return anyio.run(
        function,
        *positional,
        backend_options={'loop_factory': uvloop.new_event_loop},
    )
