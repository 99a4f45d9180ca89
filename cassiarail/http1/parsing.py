"""Parse the requests of one connection.

Empty lines before a request are ignored (RFC 9112, 2.2).
"""

import h11

from cassiarail.http1.assembly import ClientLimits

_LINE_END = b'\r\n'


def build_parser(limits: ClientLimits) -> h11.Connection:
    """Return a parser of requests that has read nothing."""
    return h11.Connection(
        h11.SERVER,
        max_incomplete_event_size=limits.head_max_bytes,
    )


def skip_empty_lines(received: bytes) -> bytes:
    """Return the bytes from the begin of the next request."""
    return received.lstrip(_LINE_END)


def find_next_request(parser: h11.Connection) -> bytes:
    """Return what was read of the request behind the current one."""
    return skip_empty_lines(parser.trailing_data[0])


def renew_parser(
    parser: h11.Connection,
    limits: ClientLimits,
) -> h11.Connection:
    """Return the parser of the next request on a reusable connection."""
    next_request = find_next_request(parser)
    if parser.trailing_data[0] == next_request:
        parser.start_next_cycle()
        return parser
    # The parser would reject the empty lines that it has buffered.
    renewed = build_parser(limits)
    if next_request:
        renewed.receive_data(next_request)
    return renewed
