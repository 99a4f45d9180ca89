"""Guard against a traceback when the demo's addresses are in use."""

import socket

from cassiarail.commands.demo import find_used_address


def test_an_address_in_use_is_reported():
    with socket.create_server(('127.0.0.1', 0)) as server:
        host, port = server.getsockname()
        address = f'{host}:{port}'
        assert find_used_address([address]) == address
    assert find_used_address([address]) is None
