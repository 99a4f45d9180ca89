"""Test that versions over HTTP contain the era that the answer names."""

import httpx
import pytest

from cassiarail.core import exceptions
from cassiarail.store.eras import Version
from tests.store.test_http import OBJECT, call

OLD, NEW = Version(1, 7).pack(), Version(2, 7).pack()


def respond_in(era, body, status=200):
    return lambda _request: httpx.Response(
        status, json=body, headers={'Store-Era': str(era)}
    )


def test_what_is_read_has_the_era_of_its_answer():
    found = call(respond_in(2, OBJECT), lambda store: store.read('l', 'a'))
    assert found.version == NEW
    listing = call(
        respond_in(2, {'revision': 9, 'objects': [OBJECT]}),
        lambda store: store.list_objects('l'),
    )
    assert listing.revision == Version(2, 9).pack()
    assert listing.entries[0].version == NEW


@pytest.mark.parametrize(
    'write',
    [
        lambda store: store.replace('l', 'a', {}, OLD),
        lambda store: store.delete('l', 'a', OLD),
    ],
)
def test_a_write_of_an_earlier_era_is_not_sent_or_read_back(write):
    sent = []

    def respond(request):
        sent.append(request.headers['if-match'])
        return respond_in(2, {'version': 8})(request)

    async def main(store):
        store.era.observe(1, 'test')
        with pytest.raises(exceptions.StoreOutcomeUnknownError):
            await write(store)
        with pytest.raises(exceptions.VersionConflictError):
            await write(store)

    call(respond, main)
    assert sent == ['7']


def test_a_watch_of_an_earlier_era_expires():
    batch = {'revision': 9, 'objects': [], 'deleted': []}

    async def main(store):
        for _ in range(2):
            with pytest.raises(exceptions.WatchExpiredError):
                await store.watch('l', OLD, 1)

    call(respond_in(2, batch), main)


def test_a_late_answer_of_an_earlier_era_is_a_failed_read():
    async def main(store):
        store.era.observe(2, 'test')
        with pytest.raises(exceptions.StoreUnavailableError):
            await store.read('l', 'a')

    call(respond_in(1, OBJECT), main)
