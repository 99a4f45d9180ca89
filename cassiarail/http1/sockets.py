"""Make the kernel notice connections that went silent."""

import asyncio
import socket

# A peer without power or behind a partition acknowledges nothing. Two probes
# a second apart after one idle second report it within about three seconds.
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_PROBE_COUNT = 2
# Bytes that stay unacknowledged for this long end the connection.
_UNACKNOWLEDGED_MS = 2500

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
)


def watch_for_silence(transport: asyncio.BaseTransport) -> None:
    """Set the socket options that end a silent connection."""
    tcp = transport.get_extra_info('socket')
    if tcp is None:
        return
    for level, option, setting in _OPTIONS:
        tcp.setsockopt(level, option, setting)
