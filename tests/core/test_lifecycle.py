"""Test what stop signals do while components start."""

import os
import signal

import anyio

from cassiarail.core.lifecycle import Application, Component
from cassiarail.core.loops import run_real


class Signalled(Component):
    """Get a stop signal while starting, as callers may connect already."""

    name = 'signalled'

    def __init__(self):
        self.calls = []

    async def start(self):
        self.calls.append('start')
        os.kill(os.getpid(), signal.SIGTERM)

    async def run(self):
        await anyio.sleep_forever()

    async def drain(self):
        self.calls.append('drain')

    async def stop(self):
        self.calls.append('stop')


def test_a_stop_signal_during_the_start_stops_the_process_gracefully():
    # The default action ended the process with its callers' requests.
    component = Signalled()
    application = Application('test', [component])

    async def main():
        await application.run(handle_signals=True)

    run_real(main)
    assert component.calls == ['start', 'drain', 'stop']
