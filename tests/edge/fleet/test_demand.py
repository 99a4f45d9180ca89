"""Test that names which callers make up don't stay in a host's memory."""

from cassiarail.core.clock import ManualClock
from cassiarail.edge.fleet.demand import DemandMeter
from cassiarail.edge.registry.configuration import EngineType, Model
from cassiarail.edge.registry.targets import ModelVariant

MODEL = Model('m', 1, 12, 1, 1, 1, 1)
ENGINE = EngineType(8, 1000, 10, 4, 1, {'m': MODEL})


def test_nothing_is_kept_of_a_request_that_has_ended():
    meter = DemandMeter(ManualClock())
    for number in range(10):
        with meter.track('s', ModelVariant(f'm{number}', ''), 1):
            assert len(meter.measure()) == number + 1
    assert not meter._in_flight


def test_only_configured_models_and_adapters_exist():
    assert ENGINE.has_variant('m', '')
    assert ENGINE.has_variant('m', 'a1')
    assert ENGINE.has_variant('m', 'a12')
    for adapter in ('a0', 'a13', 'b1', 'a', 'a-1', 'a' * 99, 'a' + '1' * 99):
        assert not ENGINE.has_variant('m', adapter)
    assert not ENGINE.has_variant('n', '')
