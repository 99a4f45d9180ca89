"""Define the program ``cassiarail-gateway``."""

import pathlib
import random
from typing import Annotated

import typer

from cassiarail.commands.options import load_or_exit
from cassiarail.commands.version import VersionOption
from cassiarail.conf import global_defaults as defaults
from cassiarail.conf.loader import read_secret
from cassiarail.conf.schema import GatewaySettings
from cassiarail.core.clock import LoopClock
from cassiarail.core.lifecycle import Application
from cassiarail.core.loops import run_real
from cassiarail.core.transports import create_tcp_transport
from cassiarail.gateway.process import GatewayConnections, GatewayProcess
from cassiarail.gateway.refusals import render_refusal
from cassiarail.http1.assembly import ClientLimits
from cassiarail.membership.backends.codec import SignedCodec
from cassiarail.membership.backends.grpc import GrpcPeerTransport
from cassiarail.store.backends.http import HttpObjectStore
from cassiarail.telemetry.listener import (
    HttpListener,
    LimitsCollector,
    ListenerRules,
)
from cassiarail.telemetry.logs import configure_logs
from cassiarail.telemetry.metrics import create_registry
from cassiarail.telemetry.tracing import Tracing

program = typer.Typer(add_completion=False)
# Above the limit of the endpoints, whose error response names it.
_MAX_HEAD_BYTES = 65_536


def read_rules(settings: GatewaySettings) -> ListenerRules:
    """Return what callers may make a gateway keep."""
    limits = settings.get('limits', {})
    return ListenerRules(
        ClientLimits(
            _MAX_HEAD_BYTES,
            limits.get('body_max_bytes', defaults.CALLER_BODY_MAX_BYTES),
            limits.get('body_timeout_s', defaults.CALLER_BODY_TIMEOUT_S),
            limits.get('keep_alive_s', defaults.CALLER_KEEP_ALIVE_S),
        ),
        limits.get('memory_bytes', defaults.CLIENT_MEMORY_BYTES),
        limits.get('connections_max', defaults.CALLER_CONNECTIONS_MAX),
        render_refusal=render_refusal,
    )


async def run_gateway(settings: GatewaySettings, secret: bytes) -> None:
    """Run a gateway until it is signalled to stop."""
    clock = LoopClock()
    tracing = Tracing('gateway', settings.get('telemetry', {}), clock)
    process = GatewayProcess(
        settings,
        GatewayConnections(
            HttpObjectStore(settings['object_api'], create_tcp_transport()),
            GrpcPeerTransport(SignedCodec(secret, clock)),
            create_tcp_transport,
        ),
        clock,
        random.Random(),
        create_registry(),
        tracing.tracer,
    )
    operators = HttpListener(
        'operators',
        settings['operators'],
        process.build_operator_app(lambda: application.is_ready()),
    )
    callers = HttpListener(
        'callers', settings['callers'], process.asgi, read_rules(settings)
    )
    LimitsCollector(process.registry, callers, operators)
    application = Application(
        'gateway',
        [tracing, operators, callers, *process.components],
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
    """Route, retry and stream callers' requests."""
    document, secret = load_or_exit(settings, GatewaySettings, read_secret)
    configure_logs(document.get('telemetry', {}).get('log_level', 'info'))
    run_real(run_gateway, document, secret)
