"""Test that no merge order of the quarantine loses a crash."""

from hypothesis import given
from hypothesis import strategies as st

from cassiarail.membership.fingerprints import FingerprintTable
from cassiarail.membership.revisions import Revisions

_NAME = 'request'
_STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from(['crash', 'success', 'lift'])),
    max_size=8,
)


def _apply_action(table, action, number):
    if action == 'crash':
        table.record_crash(_NAME, f'e{number}', 'i')
    elif action == 'success':
        table.record_success(_NAME)
    else:
        table.lift(_NAME)


@given(_STEPS, st.randoms(use_true_random=False))
def test_tables_agree_after_merging_in_any_order(steps, generator):
    """Controllers that disagree would admit a request that crashes targets."""
    tables = [FingerprintTable(Revisions()) for _ in range(3)]
    for number, (owner, action) in enumerate(steps):
        _apply_action(tables[owner], action, number)
    for _ in range(3):
        pairs = [(a, b) for a in range(3) for b in range(3)]
        generator.shuffle(pairs)
        for source, receiver in pairs:
            entry = tables[source].encode(_NAME)
            tables[receiver].merge(entry, str(source))
    encoded = {table.encode(_NAME).SerializeToString() for table in tables}
    assert len(encoded) == 1


def test_success_does_not_hide_second_crash():
    """A success announced during the second crash must not clear it."""
    first, second = (FingerprintTable(Revisions()) for _ in range(2))
    first.record_crash(_NAME, 'e1', 'i')
    second.merge(first.encode(_NAME), 'first')
    first.record_success(_NAME)
    second.record_crash(_NAME, 'e2', 'i')
    first.merge(second.encode(_NAME), 'second')
    second.merge(first.encode(_NAME), 'first')
    assert first.list_quarantined() == second.list_quarantined() == {_NAME}
    second.lift(_NAME)
    first.merge(second.encode(_NAME), 'second')
    assert not first.list_quarantined()
