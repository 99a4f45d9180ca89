"""Test restarts and restart limits of the supervisor."""

import asyncio
import random

import anyio
import pytest

from cassiarail.core.clock import LoopClock
from cassiarail.core.lifecycle import Application, Component
from cassiarail.core.loops import DeadlockError, run_virtual
from cassiarail.core.supervisor import ChildSpec, SupervisionError, Supervisor


def test_restarts_a_crashed_child():
    """Guard against a single crash ending the process."""
    runs = []

    async def crash_once():
        runs.append(1)
        if len(runs) == 1:
            raise RuntimeError('first run')

    supervisor = Supervisor(
        'root',
        [ChildSpec('child', crash_once)],
        LoopClock(),
        random.Random(1),
    )
    run_virtual(supervisor.run)
    assert len(runs) == 2


def test_stops_above_the_restart_rate():
    """Guard against restarting a constantly crashing child for ever."""
    runs = []

    async def crash():
        runs.append(1)
        raise RuntimeError('always')

    spec = ChildSpec('child', crash, max_restarts=3)
    supervisor = Supervisor('root', [spec], LoopClock(), random.Random(1))
    with pytest.raises(ExceptionGroup) as caught:
        run_virtual(supervisor.run)
    assert caught.group_contains(SupervisionError)
    assert len(runs) == 4


class _Recorder(Component):
    def __init__(self, name, log):
        self.name = name
        self.log = log

    async def start(self):
        self.log.append(f'start {self.name}')

    async def run(self):
        await anyio.sleep_forever()

    async def drain(self):
        self.log.append(f'drain {self.name}')

    async def stop(self):
        self.log.append(f'stop {self.name}')


def test_application_drains_and_stops_in_reverse_order():
    """Guard against stopping a component before its dependants drain."""
    log = []

    async def scenario():
        application = Application(
            'app',
            [_Recorder('a', log), _Recorder('b', log)],
            LoopClock(),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(application.run)
            await application.started.wait()
            assert application.is_ready()
            application.request_stop()
            assert not application.is_ready()

    run_virtual(scenario)
    assert log == [
        'start a',
        'start b',
        'drain b',
        'drain a',
        'stop b',
        'stop a',
    ]


def test_virtual_time_passes_without_waiting():
    """Guard against virtual sleeps that wait in real time."""

    async def wait_an_hour():
        clock = LoopClock()
        before = clock.monotonic()
        await clock.sleep(3600)
        return clock.monotonic() - before

    assert run_virtual(wait_an_hour) == pytest.approx(3600)


def test_virtual_time_reports_a_deadlock():
    """Guard against a deadlocked run that hangs."""
    with pytest.raises((DeadlockError, asyncio.CancelledError)):
        run_virtual(anyio.sleep_forever)
