"""Guard against a whole deployment that breaks a promise, or an audit that
doesn't see it."""

import pathlib

import pytest

from cassiarail.standins.faults import FaultName
from cassiarail.testbed.runner import RunSettings, run_in_virtual_time

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
SHORT = RunSettings(
    EXAMPLES / 'salines',
    seed=1,
    duration_s=8,
    requests_per_second=10,
    hosts_per_data_centre=1,
    faults=0,
    tokens_max=8,
)


@pytest.mark.parametrize('name', ['salines', 'ingobyi'])
def test_promises_hold_with_faults(name):
    """The parts together must keep what each keeps alone."""
    outcome = run_in_virtual_time(
        SHORT._replace(folder=EXAMPLES / name, faults=6),
    )
    assert outcome.violations == []
    assert outcome.report['answered'] > 50


def test_the_same_seed_gives_the_same_run():
    """A failing seed must be repeatable."""
    first = run_in_virtual_time(SHORT._replace(faults=3))
    assert first == run_in_virtual_time(SHORT._replace(faults=3))


@pytest.mark.parametrize(
    ('breakage', 'promise'),
    [
        (FaultName.SERVICE_RUNS_TWICE, 'doubled'),
        (FaultName.LEDGER_SKIPPED, 'overpromised_bytes_max'),
    ],
)
def test_a_deliberate_breakage_is_named(breakage, promise):
    """An audit that can't fail would prove nothing."""
    outcome = run_in_virtual_time(SHORT._replace(breakages=(breakage,)))
    assert promise in outcome.violations
