"""Configure sockets to detect dead peers."""

import asyncio
import contextlib
import socket
import struct

from cassiarail.http1.timers import Timer

# A peer that lost power or network acknowledges nothing. Two probes a second
# apart after one idle second detect it within about three seconds.
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_PROBE_COUNT = 2
# The connection ends when sent bytes stay unacknowledged for this long.
_UNACKNOWLEDGED_MS = 2500

_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
)
# Time for a peer to read the last bytes and close its end (RFC 9112, 9.6).
_LINGER_S = 1.0

# Linger for zero seconds: the kernel sends a reset instead of a clean close.
_NO_LINGER = struct.pack('ii', 1, 0)


def enable_dead_peer_detection(transport: asyncio.BaseTransport) -> None:
    """Set the socket options that end a connection to a dead peer."""
    tcp = transport.get_extra_info('socket')
    if tcp is None:
        return
    for level, option, setting in _SOCKET_OPTIONS:
        tcp.setsockopt(level, option, setting)


def reset_connection(transport: asyncio.Transport) -> None:
    """Close a connection so that its peer sees an error, not an end."""
    tcp = transport.get_extra_info('socket')
    if tcp is not None:
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


def close_gracefully(transport: asyncio.Transport, timer: Timer) -> None:
    """Send all written bytes and the end, then wait until the peer closes.

    The owner discards what the peer still sends. If it were left unread, the
    kernel would reset the connection and the peer could lose the last bytes.
    ``timer`` limits the wait.
    """
    transport.resume_reading()
    with contextlib.suppress(OSError):  # its peer has reset the connection
        try:
            transport.write_eof()
        except NotImplementedError:
            # TLS closes both directions together, after all written bytes.
            transport.close()
    timer.set(_LINGER_S, transport.close)
