"""Start the stand-ins, one controller and one gateway as processes."""

import asyncio
import contextlib
import json
import pathlib
import re
import shutil
import subprocess
import sys

from tests.soak.hosts import choose_ports
from tests.soak.loopback import ADDRESS

_EXAMPLE = 'examples/salines'
_KEY = 'pfannenmeister-example-key'
_DATA_CENTRE = 'bex'
_MODEL = 'audit'
_ADDRESS = re.compile(r'127\.0\.1\.\d+:\d+')
# Ends a test whose processes don't start or answer, also on a busy machine.
_TIMEOUT_S = 120
_POLL_INTERVAL_S = 0.1


class Program:
    """Run one program of the product; ``entry`` is MODULE:FUNCTION."""

    def __init__(self, entry, *arguments):
        module, _, name = entry.partition(':')
        code = f'from {module} import {name}; {name}()'
        self._command = (sys.executable, '-c', code, *arguments)
        self._process = None

    @property
    def is_running(self):
        """Return whether the process exists."""
        return self._process is not None and self._process.poll() is None

    def start(self, log_path):
        """Start the process."""
        with log_path.open('ab') as log:
            self._process = subprocess.Popen(
                self._command, stdout=log, stderr=log
            )

    def wait(self):
        """Return the exit status of the process."""
        return self._process.wait()

    def kill(self):
        """End the process, if it was started and runs."""
        if self.is_running:
            self._process.kill()
            self._process.wait()

    def read_memory(self, field):
        """Return a size of the process in bytes."""
        path = pathlib.Path(f'/proc/{self._process.pid}/status')
        lines = path.read_text('ascii').splitlines()
        line = next(each for each in lines if each.startswith(field))
        return int(line.split()[1]) * 1024

    def count_descriptors(self):
        """Return the number of open descriptors."""
        path = pathlib.Path(f'/proc/{self._process.pid}/fd')
        return len(list(path.iterdir()))


class Deployment:
    """Own the processes of a small deployment of the example.

    ``programs`` holds those that were started, by name.
    """

    def __init__(self, folder, changes):
        """``changes`` are settings of the gateway."""
        self._folder = folder
        self._changes = changes
        self.programs = {}
        self.ports = {}

    def kill(self):
        """End all processes."""
        for program in self.programs.values():
            program.kill()

    async def start(self):
        """Start all processes and apply the declarations of the example."""
        declarations = str(self._folder / 'declarations')
        shutil.copytree(_EXAMPLE, declarations)
        self._run(
            'cassiarail.testbed.settings:program',
            '--folder',
            _EXAMPLE,
            '--output',
            str(self._folder),
        )
        self._move_addresses()
        for name in ('standins', 'controller', 'gateway'):
            self._launch(name)
        await self._wait_until(lambda: self.is_healthy('controller'))
        self._run(
            'cassiarail.commands.ctl:main',
            'apply',
            declarations,
            '--settings',
            str(self._folder / 'ctl.json'),
        )
        await self.wait_until_served()

    async def restart(self, name, changes=None):
        """Start a program anew, and return it once requests are served.

        ``changes`` are settings, which stay until they are changed again.
        """
        self.programs[name].kill()
        if changes is not None:
            self._write(name, self._read(name) | changes)
        self._launch(name)
        await self._wait_until(lambda: self.is_healthy(name))
        await self.wait_until_served()
        return self.programs[name]

    async def wait_until_served(self):
        """Send ordinary requests until all listeners have answered."""
        await self._wait_until(self.send_ordinary)
        for name in ('gateway', 'controller'):
            await self._wait_until(lambda: self.is_healthy(name))  # noqa: B023

    async def send_ordinary(self):
        """Return whether the gateway serves one request inside its limits."""
        body = json.dumps(
            {
                'model': _MODEL,
                'messages': [{'role': 'user', 'content': 'Fasse zusammen'}],
                'max_tokens': 2,
            }
        )
        head = (
            'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n'
            f'Authorization: Bearer {_KEY}\r\nConnection: close\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        return await self._is_answered('gateway.callers', head + body)

    async def is_healthy(self, name):
        """Return whether the operators' listener of a program answers."""
        head = 'GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        return await self._is_answered(f'{name}.operators', head)

    def encode_head(self, _number):
        """Return the begin of the head of a caller's request."""
        return (
            'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n'
            f'Authorization: Bearer {_KEY}\r\n'
        )

    async def _is_answered(self, listener, request):
        received = b''
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                ADDRESS, self.ports[listener]
            )
            writer.write(request.encode())
            received = await reader.read(-1)
            writer.close()
        return received.startswith(b'HTTP/1.1 200')

    async def _wait_until(self, check):
        async with asyncio.timeout(_TIMEOUT_S):
            while not await check():
                await asyncio.sleep(_POLL_INTERVAL_S)

    def _launch(self, name):
        settings = self._folder / f'{name}.json'
        program = Program(f'cassiarail.commands.{name}:main', str(settings))
        self.programs[name] = program
        program.start(self._folder / f'{name}.log')

    def _run(self, entry, *arguments):
        program = Program(entry, *arguments)
        program.start(self._folder / 'set-up.log')
        assert program.wait() == 0

    def _move_addresses(self):
        """Use ports of this run, so that other runs don't share them."""
        ports = {}

        def move(match):
            if match[0] not in ports:
                (ports[match[0]],) = choose_ports(1)
            return f'{ADDRESS}:{ports[match[0]]}'

        for path in sorted(self._folder.rglob('*.json')):
            path.write_text(_ADDRESS.sub(move, path.read_text()))
        for name in ('gateway', 'controller'):
            path = self._folder / f'{name}-{_DATA_CENTRE}-100.json'
            path.rename(self._folder / f'{name}.json')
        gateway, controller = self._read('gateway'), self._read('controller')
        self._write('gateway', gateway | self._changes)
        # The controllers of the other data centres aren't started.
        operators = self._read('ctl')
        operators['controllers'] = operators['controllers'][:1]
        self._write('ctl', operators)
        self.ports = {
            'gateway.callers': _read_port(gateway['callers']),
            'gateway.operators': _read_port(gateway['operators']),
            'controller.peers': _read_port(controller['peers_listener']),
            'controller.operators': _read_port(controller['operators']),
        }

    def _read(self, name):
        return json.loads((self._folder / f'{name}.json').read_text())

    def _write(self, name, document):
        (self._folder / f'{name}.json').write_text(json.dumps(document))


def _read_port(listener):
    return int(listener['address'].rpartition(':')[2])
