"""Test that a call runs at most once when the store loses its claim."""

import random
import uuid

import anyio
import pytest

from cassiarail.core.clock import MANUAL_START, LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.store.backends.memory import MemoryObjectStore
from cassiarail.store.claim_errors import UnresolvedClaimError
from cassiarail.store.claims import (
    Claim,
    ClaimRepository,
    ClaimRequest,
    ClaimState,
    record_response,
)
from tests.gateway.test_refusals import make_key

OUTCOME = record_response(200, [], b'done', 'ran')


class Gateways:
    """Claim calls at several gateways of one store."""

    def __init__(self, group, era=1):
        self.clock = LoopClock(MANUAL_START)
        self.clock.now()
        self.store = MemoryObjectStore(self.clock)
        self.store.begin_era(era)
        self._group = group

    def start(self, name, client=None):
        return ClaimRepository(
            client or self.store.open_client(),
            name,
            self.clock,
            random.Random(name),
            lambda work: self._group.start_soon(work),
        )


def make_request(shift_s=0):
    return ClaimRequest('pan', uuid.UUID(make_key(shift_s)), 'digest')


def run_drill(script, **options):
    async def main():
        async with anyio.create_task_group() as group:
            await script(Gateways(group, **options))

    run_virtual(main)


@pytest.mark.parametrize('is_void', [False, True])
@pytest.mark.parametrize('is_new', [False, True])
def test_a_lost_claim_is_not_taken_for_a_key_that_was_never_claimed(
    is_new, is_void
):
    # The copy may hold the void claim of an attempt before.
    async def script(gateways):
        first, other = gateways.start('a'), gateways.start('b')
        if not is_new:
            await other.claim(make_request(-60))
        if is_void:
            await first.void(await first.claim(make_request()))
        copy = gateways.store.take_copy()
        assert isinstance(await first.claim(make_request()), Claim)
        gateways.store.come_back(copy)
        for _ in range(2):
            with pytest.raises(UnresolvedClaimError):
                await other.claim(make_request())

    run_drill(script)


@pytest.mark.xfail(strict=True, reason='KNOWN-RED 11')
def test_a_lost_claim_of_a_caller_whose_clock_is_ahead_stays_unresolved():
    async def script(gateways):
        first, other = gateways.start('a'), gateways.start('b')
        copy = gateways.store.take_copy()
        assert isinstance(await first.claim(make_request(60)), Claim)
        gateways.store.come_back(copy)
        with pytest.raises(UnresolvedClaimError):
            await other.claim(make_request(60))

    run_drill(script)


def test_keys_that_are_newer_than_the_change_are_claimed():
    async def script(gateways):
        gateway = gateways.start('a')
        await gateway.claim(make_request(-60))
        gateways.store.come_back(gateways.store.take_copy())
        with pytest.raises(UnresolvedClaimError):
            await gateway.claim(make_request())
        assert isinstance(await gateway.claim(make_request(3)), Claim)

    run_drill(script)


def test_the_time_of_a_change_is_when_it_was_noticed():
    async def script(gateways):
        client = gateways.store.open_client()
        gateway = gateways.start('a', client)
        await gateway.claim(make_request(-60))
        gateways.store.come_back(gateways.store.take_copy())
        await client.read('claim', 'x')
        await anyio.sleep(30)
        assert isinstance(await gateway.claim(make_request(10)), Claim)

    run_drill(script)


@pytest.mark.parametrize('era', [0, 1])
def test_without_a_change_all_keys_are_claimed(era):
    async def script(gateways):
        claim = await gateways.start('a').claim(make_request(-3600))
        assert isinstance(claim, Claim)

    run_drill(script, era=era)


def test_the_outcome_of_a_lost_claim_is_written_again():
    async def script(gateways):
        first, other = gateways.start('a'), gateways.start('b')
        copy = gateways.store.take_copy()
        claim = await first.claim(make_request())
        gateways.store.come_back(copy)
        first.close(claim, ClaimState.DONE, OUTCOME)
        await anyio.sleep(5)
        assert await other.claim(make_request()) == OUTCOME

    run_drill(script)


def test_a_lost_void_claim_is_not_written_again():
    # Another gateway may have claimed the key and run the call since.
    async def script(gateways):
        first, other = gateways.start('a'), gateways.start('b')
        copy = gateways.store.take_copy()
        claim = await first.claim(make_request())
        gateways.store.come_back(copy)
        await first.void(claim)
        name = make_request().object_name
        assert gateways.store.peek('claim', name) is None
        with pytest.raises(UnresolvedClaimError):
            await other.claim(make_request())

    run_drill(script)
