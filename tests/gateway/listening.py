"""Serve one listener in a process of its own, and print its port.

``python -m tests.gateway.listening KIND ADDRESS``
"""

import socket
import sys

from prometheus_client import CollectorRegistry

from cassiarail.core.loops import run_real
from cassiarail.gateway.server import (
    Listener,
    ListenerSettings,
    build_operator_asgi,
)
from cassiarail.telemetry.listener import HttpListener


def _build_application():
    return build_operator_asgi(lambda: True, CollectorRegistry())


async def _serve_gateway(address):
    listener = Listener(
        'gateway', _build_application(), ListenerSettings(address, 0)
    )
    await listener.start()
    print(listener.port, flush=True)
    await listener.run()


async def _serve_operators(address):
    with socket.create_server((address, 0)) as free:
        port = free.getsockname()[1]
    settings = {'address': f'{address}:{port}'}
    listener = HttpListener('operators', settings, _build_application())
    print(port, flush=True)
    await listener.run()


_KINDS = {'gateway': _serve_gateway, 'operators': _serve_operators}

if __name__ == '__main__':
    run_real(_KINDS[sys.argv[1]], sys.argv[2])
