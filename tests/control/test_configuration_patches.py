"""Guard configuration patches against wrong results."""

import copy

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiarail.core.exceptions import PeerRejectedError
from cassiarail.membership.bundles import BundleHistory

_NAMES = st.sampled_from(['a', 'b', 'c', 'd'])
_ENTRY = st.fixed_dictionaries(
    {'name': _NAMES, 'bytes': st.integers(0, 9)},
    optional={'adapters': st.lists(st.fixed_dictionaries({'name': _NAMES}))},
)
_DECLARATIONS = st.fixed_dictionaries(
    {
        'fleet': st.dictionaries(_NAMES, st.none() | st.integers(0, 3)),
        'models': st.lists(_ENTRY, max_size=4),
        'callers': st.lists(st.sampled_from(['x', 'y']), max_size=2),
    },
)


def _document(generation, declarations):
    return {
        'generation': generation,
        'token': f't{generation}',
        'author': 'ana',
        'accepted_at': 1.0,
        'declarations': declarations,
    }


@given(st.lists(_DECLARATIONS, min_size=2, max_size=4))
def test_patches_reproduce_the_document(chain):
    """A patch that drops or reorders an entry would split the fleet."""
    sender = BundleHistory()
    receiver = BundleHistory()
    for generation, declarations in enumerate(chain, start=1):
        document = _document(generation, copy.deepcopy(declarations))
        sender.append(document)
        received = receiver.unpack(sender.get_bundle(generation - 1))
        assert received == document
        receiver.append(received)


def test_patch_on_another_base_is_not_applied():
    """A node that missed a generation must request the complete document."""
    sender = BundleHistory()
    for generation in (1, 2, 3):
        sender.append(_document(generation, {'models': []}))
    receiver = BundleHistory()
    receiver.append(_document(1, {'models': []}))
    assert receiver.unpack(sender.get_bundle(2)) is None
    complete = sender.get_bundle(1)
    assert complete.base_generation == 0
    assert receiver.unpack(complete)['generation'] == 3


def test_corrupted_bundle_is_rejected():
    """A document that differs from its checksum must not be applied."""
    sender = BundleHistory()
    sender.append(_document(1, {'models': []}))
    bundle = sender.get_bundle(0)
    bundle.checksum = b'12345678'
    with pytest.raises(PeerRejectedError):
        BundleHistory().unpack(bundle)
