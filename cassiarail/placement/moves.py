"""Derive the moves that lead to the planned holdings."""

from collections.abc import Iterable, Mapping

from cassiarail.placement.backends.base import (
    HoldingKey,
    ModelNeed,
    Move,
    MoveKind,
    PlacementInput,
)


def list_moves(
    placement_input: PlacementInput,
    holdings: Mapping[str, frozenset[HoldingKey]],
) -> tuple[Move, ...]:
    """Return loads, then unloads with the loads that they wait for.

    Adapters are loaded after their model. Unloading a model also unloads its
    adapters, so those get no move of their own.
    """
    needs = {need.key.model: need for need in placement_input.models}
    loads: list[Move] = []
    unloads: list[Move] = []
    for target in placement_input.targets:
        planned = holdings.get(target.name, frozenset())
        loads.extend(_list_loads(target.name, planned - target.held, needs))
        unloads.extend(
            _list_unloads(target.name, target.held - planned, planned),
        )
    loading = {move.key.model for move in loads if not move.key.adapter}
    ordered = [_wait_for_successor(move, needs, loading) for move in unloads]
    return (*loads, *ordered)


def _list_loads(
    target: str,
    missing: Iterable[HoldingKey],
    needs: Mapping[str, ModelNeed],
) -> list[Move]:
    moves = []
    for key in sorted(missing):
        need = needs[key.model]
        if key.adapter:
            model_key = key._replace(adapter='')
            size = need.adapters[key.adapter]
            kind = MoveKind.LOAD_ADAPTER
            moves.append(Move(kind, target, key, size, (model_key,)))
        else:
            size = need.bytes + need.kv_reserve_bytes
            moves.append(Move(MoveKind.LOAD_MODEL, target, key, size))
    return moves


def _list_unloads(
    target: str,
    surplus: Iterable[HoldingKey],
    planned: frozenset[HoldingKey],
) -> list[Move]:
    moves = []
    for key in sorted(surplus):
        if not key.adapter:
            moves.append(Move(MoveKind.UNLOAD_MODEL, target, key))
        elif key._replace(adapter='') in planned:
            moves.append(Move(MoveKind.UNLOAD_ADAPTER, target, key))
    return moves


def _wait_for_successor(
    move: Move,
    needs: Mapping[str, ModelNeed],
    loading: set[str],
) -> Move:
    if move.key.adapter or move.key.model not in loading:
        return move
    return move._replace(after=(needs[move.key.model].key,))
