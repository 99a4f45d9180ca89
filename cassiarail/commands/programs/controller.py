"""Define the program ``cassiarail-controller``."""

import pathlib
import random
from collections.abc import Iterator
from typing import Annotated

import typer

from cassiarail.commands.options import load_or_exit
from cassiarail.commands.version import VersionOption
from cassiarail.conf.loader import read_secret
from cassiarail.conf.schema import ControllerSettings
from cassiarail.controller.process import (
    ControllerConnections,
    ControllerProcess,
)
from cassiarail.core.clock import Clock, LoopClock
from cassiarail.core.lifecycle import Application
from cassiarail.core.loops import run_real
from cassiarail.core.transports import create_tcp_transport
from cassiarail.membership.backends.codec import SignedCodec
from cassiarail.membership.backends.grpc import (
    GrpcPeerServer,
    GrpcPeerTransport,
)
from cassiarail.store.backends.http import HttpObjectStore
from cassiarail.telemetry.listener import (
    HttpListener,
    LimitedListener,
    LimitsCollector,
)
from cassiarail.telemetry.logs import configure_logs
from cassiarail.telemetry.metrics import create_registry

program = typer.Typer(add_completion=False)


class PeerListener(LimitedListener):
    """Serve peers and gateways over gRPC."""

    name = 'peers'

    def __init__(self, server: GrpcPeerServer, address: str) -> None:
        self._server = server
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)

    def describe_limits(self) -> Iterator[tuple[str, float]]:
        """Yield the name of each limit, and how often it was reached."""
        return self._server.describe_limits()

    async def start(self) -> None:
        """Listen on the peers' address."""
        await self._server.start(self._host, self._port)

    async def run(self) -> None:
        """Return immediately; the server runs tasks of its own."""

    async def stop(self) -> None:
        """Close the listener."""
        await self._server.stop()


def build_process(
    settings: ControllerSettings,
    secret: bytes,
    clock: Clock,
    generator: random.Random,
) -> ControllerProcess:
    """Return a controller that communicates over TCP."""
    connections = ControllerConnections(
        store=HttpObjectStore(settings['object_api'], create_tcp_transport()),
        peers=GrpcPeerTransport(SignedCodec(secret, clock)),
        create_transport=create_tcp_transport,
    )
    return ControllerProcess(
        settings,
        connections,
        clock,
        generator,
        create_registry(),
    )


async def run_controller(settings: ControllerSettings, secret: bytes) -> None:
    """Run a controller until it is signalled to stop."""
    clock = LoopClock()
    process = build_process(settings, secret, clock, random.Random())
    server = GrpcPeerServer(
        SignedCodec(secret, clock),
        process.node,
        process.feed,
    )
    listener = PeerListener(server, settings['peers_listener']['address'])
    operators = HttpListener(
        'operators',
        settings['operators'],
        process.build_operator_app(lambda: application.is_ready()),
    )
    LimitsCollector(process.registry, operators, listener)
    application = Application(
        'controller',
        [listener, *process.components, operators],
        clock,
    )
    try:
        await application.run(handle_signals=True)
    finally:
        await process.aclose()


@program.command()
def serve(
    settings: Annotated[pathlib.Path, typer.Argument(help='JSON settings')],
    version: VersionOption = False,
) -> None:
    """Place models, distribute the configuration and track peers."""
    document, secret = load_or_exit(settings, ControllerSettings, read_secret)
    configure_logs(document.get('telemetry', {}).get('log_level', 'info'))
    run_real(run_controller, document, secret)
