"""Guard against estimates of first tokens that nobody can check."""

from tests.edge.harness import Fleet
from tests.edge.requests.test_forwarding import STREAM_HEAD, encode_chunk
from tests.http1.wire import ScriptedServer, run_with_timeout

WORKING = b'HTTP/1.1 200 OK\r\nX-Cassiarail-Server-Load: 1,0,8,150\r\n'
PROMPT = (
    'X-Cassiarail-Model: m\r\nX-Cassiarail-Prompt-Prefix: a:200,{last}:100\r\n'
    'X-Cassiarail-Token-Count: 300,10\r\n'
)


async def serve_stream(server, reader, writer):
    """Answer each request of a connection with a stream of one event."""
    while True:
        await server.read_request(reader)
        head = STREAM_HEAD.replace(b'HTTP/1.1 200 OK\r\n', WORKING)
        writer.write(head + encode_chunk(b'data: a\n\n') + b'0\r\n\r\n')
        await writer.drain()


def test_the_error_of_the_estimate_and_kept_tokens_are_counted():
    # Fails if an operator sees neither how far first tokens were from what
    # was expected, nor whether targets get the prompts that they hold.
    async def main():
        async with ScriptedServer(serve_stream) as engine, Fleet() as fleet:
            fleet.add(engine, 'i-0')
            for last in ('b', 'c', 'd'):
                prompt = PROMPT.format(last=last)
                response = await fleet.send_request('stream', prompt)
                assert b'data: a' in response
            read = fleet.metrics_registry.get_sample_value
            name = 'cassiarail_first_token_error_seconds'
            sides = [{'side': side} for side in ('early', 'late')]
            counts = [read(f'{name}_count', side) or 0 for side in sides]
            errors = [read(f'{name}_sum', side) or 0 for side in sides]
            # The first request was sent before the service was estimated.
            assert sum(counts) == 2
            assert 0 < sum(errors) < 1
            tokens = 'cassiarail_prompt_tokens_total'
            assert read(tokens, {'kept': 'yes'}) == 400
            assert read(tokens, {'kept': 'no'}) == 200

    run_with_timeout(main)
