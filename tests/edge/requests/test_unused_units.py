"""Test that requests hold units of a quota only while they may use them."""

import asyncio

from cassiarail.core.verdict import Verdict
from tests.edge.harness import Fleet, make_response, serve
from tests.http1.wire import ScriptedServer, run_with_timeout


class FakeQuotas:
    """Record which requests are charged."""

    def __init__(self):
        self.charged = set()

    async def charge(self, job):
        self.charged.add(job)

    def settle(self, job):
        if job.verdict is Verdict.NOT_RUN:
            self.charged.discard(job)


def test_a_request_that_waits_for_its_model_uses_no_units():
    # Requests of a client account were refused while others of the account,
    # which waited and never ran, held its units.
    async def main():
        quotas = FakeQuotas()
        async with (
            ScriptedServer(serve(make_response(b'done'))) as server,
            Fleet() as host,
        ):
            host.forwarder._parts.admission._quotas = quotas
            pending = asyncio.ensure_future(
                host.send_request('read', 'X-Cassiarail-Model: m\r\n')
            )
            while not list(host.waits):
                await asyncio.sleep(0.001)
            assert not quotas.charged
            host.add(server, 'i-0')
            assert (await pending).endswith(b'done')
            assert len(quotas.charged) == 1

    run_with_timeout(main)
