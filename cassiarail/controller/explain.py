"""Explain the origin of the values and the placement of a model."""

from collections.abc import Mapping, Sequence
from typing import Any

from cassiarail.control.ledger import parse_key
from cassiarail.declarations.resolve import index_models, resolve_origins
from cassiarail.declarations.schema import DeclarationsDocument, Match
from cassiarail.placement.demand import Forecast
from cassiarail.placement.homes import assign_homes, size_bundle
from cassiarail.placement.needs import build_need, list_capacities


def explain_model(
    declarations: DeclarationsDocument,
    name: str,
) -> dict[str, Any]:
    """Return the origins of the values and the homes of a declared model."""
    model = index_models(declarations)[name]
    subject = Match(model=name, service=model['service'])
    origins = resolve_origins(declarations, subject)
    needs = {
        other['name']: build_need(declarations, other, Forecast(0, 0))
        for other in declarations['models']
    }
    homes = assign_homes(needs.values(), list_capacities(declarations))
    explanation: dict[str, Any] = {
        'model': name,
        'values': {
            key: _format_origin(origin.setting, origin.source, origin.reason)
            for key, origin in sorted(origins.items())
        },
        'replica_bytes': size_bundle(needs[name]),
        'homes': list(homes.by_model[name]),
    }
    if name in homes.unplaced:
        explanation['unplaced'] = homes.unplaced[name]
    if name in homes.reduced:
        explanation['fewer_data_centres'] = homes.reduced[name]
    return explanation


def explain_placement(
    name: str,
    placements: Sequence[Mapping[str, Any] | None],
) -> dict[str, Any]:
    """Return where a model is live and why it isn't elsewhere."""
    live: list[str] = []
    unplaced: dict[str, str] = {}
    for placement in placements:
        if placement is None:
            continue
        live.extend(
            target['name']
            for target in placement['targets']
            if any(parse_key(text).model == name for text in target['live'])
        )
        if name in placement['unplaced']:
            unplaced[placement['data_centre']] = placement['unplaced'][name]
    return {'live': sorted(live), 'unplaced': unplaced}


def _format_origin(setting: Any, source: str, reason: str) -> str:
    because = f' because: {reason}' if reason else ''
    return f'{setting} (from {source}){because}'
