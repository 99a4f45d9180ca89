"""Guard against wrong exit codes and output of the two programs."""

import msgspec
import pytest
from typer.testing import CliRunner

from cassiarail.commands import load, standins
from cassiarail.load.report import SystemFigures
from tests.load.test_client import make_scenario
from tests.standins.support import make_settings


@pytest.fixture
def report():
    keys = {
        'requests': 1,
        'answered': 1,
        'refused_not_run': 0,
        'uncertain': 0,
        'broken_streams': 0,
        'misdelivered': 0,
        'doubled': 0,
        'lost': 0,
        'not_run_but_ran': 0,
        'overpromised_bytes_max': 0,
        'unreachable_models': 0,
        'late_new_work': 0,
        'cut_by_planned_stop': 0,
        'first_token_seconds_p50': 0.1,
        'first_token_seconds_p95': 0.1,
        'first_token_seconds_p99': 0.1,
        'inter_token_seconds_p95': 0.1,
        'attainment': 0.5,
        'attainment_per_accelerator': 0.25,
        'seed': 1,
        'policy': 'ours',
        'faults': [],
    }
    return {**SystemFigures()._asdict(), **keys}


def invoke(module, *arguments):
    return CliRunner().invoke(module.program, [str(part) for part in arguments])


@pytest.mark.parametrize('module', [load, standins])
def test_help_and_version_exit_with_0(module):
    assert invoke(module, '--help').exit_code == 0
    assert invoke(module, '--version').exit_code == 0
    assert invoke(module, '--no-such-option').exit_code == 2


def test_rejected_settings_and_scenarios_exit_with_2_and_a_reason(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_bytes(msgspec.json.encode(make_settings()))
    rejected = invoke(standins, path)
    assert rejected.exit_code == 2
    assert '10.0.0.1:80 is not on loopback' in rejected.output
    path.write_bytes(msgspec.json.encode(make_scenario(accelerators='2')))
    rejected = invoke(load, 'run', '--scenario', path, '--report', path)
    assert rejected.exit_code == 2
    assert 'S070 $.accelerators' in rejected.output


def test_compare_prints_ratios_and_fails_without_common_seeds(tmp_path, report):
    first = tmp_path / 'a.json'
    second = tmp_path / 'b.json'
    first.write_bytes(msgspec.json.encode(report))
    second.write_bytes(msgspec.json.encode({**report, 'attainment': 0.75}))
    compared = invoke(load, 'compare', first, second, '--json')
    assert compared.exit_code == 0
    rows = {row['name']: row for row in msgspec.json.decode(compared.output)}
    assert rows['attainment']['ratio'] == 1.5
    second.write_bytes(msgspec.json.encode({**report, 'seed': 2}))
    assert invoke(load, 'compare', first, second).exit_code == 1
    second.write_bytes(msgspec.json.encode({**report, 'unknown': 2}))
    assert invoke(load, 'compare', first, second).exit_code == 2


def test_plot_output_is_reproducible(tmp_path, report):
    path = tmp_path / 'a.json'
    path.write_bytes(msgspec.json.encode(report))
    images = []
    for name in ('a.svg', 'b.svg'):
        output = tmp_path / name
        assert invoke(load, 'plot', path, '--output', output).exit_code == 0
        images.append(output.read_bytes())
    assert images[0] == images[1]
