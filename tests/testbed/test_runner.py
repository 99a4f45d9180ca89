"""Guard against violated guarantees and audits that miss violations."""

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
def test_guarantees_hold_despite_faults(name):
    # Guarantees that hold for each process must hold for all together.
    run_result = run_in_virtual_time(
        SHORT._replace(folder=EXAMPLES / name, faults=6),
    )
    assert run_result.violations == []
    assert run_result.report['answered'] > 50


def test_runs_are_reproducible_by_seed():
    # A failing seed must be reproducible.
    first = run_in_virtual_time(SHORT._replace(faults=3))
    assert first == run_in_virtual_time(SHORT._replace(faults=3))


@pytest.mark.parametrize(
    ('defect', 'guarantee'),
    [
        (FaultName.SERVICE_RUNS_TWICE, 'doubled'),
        (FaultName.LEDGER_SKIPPED, 'overpromised_bytes_max'),
    ],
)
def test_injected_defects_are_detected(defect, guarantee):
    # An audit that never reports a violation would prove nothing.
    run_result = run_in_virtual_time(SHORT._replace(defects=(defect,)))
    assert guarantee in run_result.violations
