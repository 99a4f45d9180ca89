"""Guard against catalogues that differ from the code."""

import importlib
import pathlib
import pkgutil
import re

import cassiarail
from cassiarail.conf import edge, global_defaults, schema
from cassiarail.core.events import list_events
from cassiarail.core.exceptions import CassiarailError

REFERENCE = pathlib.Path(__file__).parents[2] / 'docs' / 'ref'
SKIPPED = ('_pb2', '_grpc', '__main__')


def _import_all():
    for module in pkgutil.walk_packages(cassiarail.__path__, 'cassiarail.'):
        if not module.name.endswith(SKIPPED):
            importlib.import_module(module.name)


def _subclasses(kind):
    for child in kind.__subclasses__():
        yield child
        yield from _subclasses(child)


def _read_rows(name):
    text = (REFERENCE / name).read_text()
    return set(re.findall(r'^\| `?([A-Za-z0-9_.]+)`? \|', text, re.MULTILINE))


def test_every_event_is_in_the_catalogue():
    _import_all()
    numbers = {str(event.number) for event in list_events()}
    assert _read_rows('events.md') - {'number'} == numbers


def test_every_error_id_is_unique_and_in_the_catalogue():
    _import_all()
    ids = [
        kind.error_id
        for kind in _subclasses(CassiarailError)
        if kind.__module__.startswith('cassiarail.')
        and 'error_id' in vars(kind)
    ]
    assert len(ids) == len(set(ids))
    assert _read_rows('errors.md') - {'id'} == set(ids)


def test_every_setting_and_default_is_in_the_reference():
    shapes = (
        schema.GatewaySettings,
        schema.ControllerSettings,
        schema.OperatorSettings,
        schema.ListenerSettings,
        schema.TelemetrySettings,
        schema.CallerLimits,
        schema.PeerSettings,
        edge.EdgeSettings,
        edge.EndpointSettings,
        edge.RegistrySettings,
        edge.BoundSettings,
    )
    keys = {key for shape in shapes for key in shape.__annotations__}
    defaults = {name for name in vars(global_defaults) if name.isupper()}
    assert _read_rows('settings.md') - {'key', 'constant'} == keys | defaults
