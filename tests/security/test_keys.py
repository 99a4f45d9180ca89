"""Test the lookup of callers by key."""

import pytest

from cassiarail.security.keys import KeyRing, compute_key_digest, parse_bearer


def _caller(name, *keys):
    return [(compute_key_digest(key), name) for key in keys]


def test_a_caller_is_found_only_by_its_own_keys():
    """Both keys work during a rotation; a digest is not accepted as a key."""
    key_ring = KeyRing([*_caller('a', 'old', 'new'), *_caller('b', 'other')])
    assert key_ring.find_owner('old') == 'a'
    assert key_ring.find_owner('new') == 'a'
    assert key_ring.find_owner('other') == 'b'
    assert key_ring.find_owner(compute_key_digest('old')) is None
    assert key_ring.find_owner('') is None


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
def test_keys_are_read_only_from_bearer_headers(header, key):
    assert parse_bearer(header) == key
