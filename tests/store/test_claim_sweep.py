"""Test that claims are not deleted while their keys are accepted."""

import datetime as dt
import random
import uuid

from cassiarail.core.clock import MANUAL_START
from cassiarail.core.loops import run_virtual
from cassiarail.store.backends.base import Listing
from cassiarail.store.claim_errors import IdempotencyKeyTimeError
from cassiarail.store.claim_sweep import ClaimSweeper
from cassiarail.store.claims import parse_idempotency_key
from tests.gateway.fakes import FakeStore
from tests.gateway.test_refusals import make_key


class _Store(FakeStore):
    async def list_objects(self, kind, prefix=''):
        found = [
            stored
            for (_, name), stored in self.objects.items()
            if name.startswith(prefix)
        ]
        return Listing(0, found)

    async def delete(self, kind, name, version):
        self.objects.pop((kind, name))


def test_sweep_deletes_only_expired_claims():
    """Guard against a second run of a call whose claim was deleted early."""

    async def main():
        store = _Store()
        generator = random.Random(3)
        keys = [make_key(generator.uniform(-3600, 3600)) for _ in range(200)]
        for key in keys:
            await store.create('claim', f'pan.{key}', {})
        sweeper = ClaimSweeper(store, dt.timedelta(hours=2))
        for hour in range(24, 29):
            now = MANUAL_START + dt.timedelta(hours=hour)
            await sweeper.sweep(['pan', 'clerk'], now)
            for key in keys:
                if ('claim', f'pan.{key}') not in store.objects:
                    assert not _is_accepted(key, now)
        assert not store.objects

    run_virtual(main)


def _is_accepted(key, now):
    try:
        return parse_idempotency_key(key, now) == uuid.UUID(key)
    except IdempotencyKeyTimeError:
        return False
