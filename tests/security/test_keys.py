"""Guard the look-up of callers by key."""

import pytest

from cassiarail.security.keys import KeyRing, compute_key_digest, parse_bearer


def _caller(name, *keys):
    return {
        'name': name,
        'key_digests': [compute_key_digest(key) for key in keys],
        'models': [],
        'services': [],
    }


def test_finds_a_caller_by_each_of_its_keys_only():
    """During a rotation both keys work; a digest is never a key."""
    ring = KeyRing([_caller('a', 'old', 'new'), _caller('b', 'other')])
    assert ring.find_caller('old')['name'] == 'a'
    assert ring.find_caller('new')['name'] == 'a'
    assert ring.find_caller('other')['name'] == 'b'
    assert ring.find_caller(compute_key_digest('old')) is None
    assert ring.find_caller('') is None


@pytest.mark.parametrize(
    ('header', 'key'),
    [
        ('Bearer abc', 'abc'),
        ('bearer  abc ', 'abc'),
        ('Basic abc', None),
        ('Bearer', None),
        ('', None),
        (None, None),
    ],
)
def test_reads_bearer_headers(header, key):
    assert parse_bearer(header) == key
