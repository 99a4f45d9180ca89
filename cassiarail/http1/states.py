"""Name the states of a client connection."""

import enum


class ConnectionState(enum.Enum):
    """Name what a connection does; only ``CLOSING`` and ``CLOSED`` are final.

    ``WAITING`` has read no byte of a request, and ``CLOSING`` reads no more.
    ``SENDING`` waits until the client has read enough of the last response.
    """

    WAITING = 'waiting'
    READING = 'reading'
    RESPONDING = 'responding'
    SENDING = 'sending'
    CLOSING = 'closing'
    CLOSED = 'closed'
