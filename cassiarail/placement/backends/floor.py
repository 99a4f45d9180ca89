"""Place the replicas that every policy must keep.

These come before anything that demand asks for: one replica of each model
first, so that every model is reachable, then the declared minimum.
"""

from cassiarail.placement.backends.base import ModelNeed
from cassiarail.placement.homes import size_bundle
from cassiarail.placement.layout import Layout, list_unneeded


def place_floor(layout: Layout) -> dict[str, str]:
    """Add missing base replicas; return the models that don't fit, and why."""
    for model, target in tuple(list_unneeded(layout, tuple(layout.needs))):
        layout.remove(model, target)
    ordered = sorted(
        (need for need in layout.needs.values() if need.replicas_min),
        key=lambda need: (-size_bundle(need), need.key.model),
    )
    for need in ordered:
        _take_seats(layout, need)
    unplaced: dict[str, str] = {}
    for need in ordered:
        if not layout.replicas[need.key.model] and not _add(layout, need):
            unplaced[need.key.model] = (
                f'no target has {size_bundle(need)} bytes left'
            )
    for need in ordered:
        while len(layout.replicas[need.key.model]) < need.replicas_min:
            if not _add(layout, need):
                break
    return unplaced


def make_room(layout: Layout, need: ModelNeed, target: str) -> list[str] | None:
    """Return the surplus models whose removal makes room at a target.

    A model is surplus where it has more replicas than its minimum, which is
    zero for models whose home is another data centre. The least
    loaded go first. Returns ``None`` if even all of them are not enough.
    """
    missing = size_bundle(need) - layout.free[target]
    surplus = sorted(
        (model for model in layout.models[target] if is_surplus(layout, model)),
        key=lambda model: (layout.share(model), model),
    )
    removed = []
    for model in surplus:
        if missing <= 0:
            break
        removed.append(model)
        missing -= size_bundle(layout.needs[model])
    return removed if missing <= 0 else None


def is_surplus(layout: Layout, model: str) -> bool:
    """Tell whether a model has more replicas than it must keep."""
    return len(layout.replicas[model]) > layout.needs[model].replicas_min


def _take_seats(layout: Layout, need: ModelNeed) -> None:
    """Place base replicas where they fit together with all others."""
    size = size_bundle(need)
    for target in need.base_assignments:
        if len(layout.replicas[need.key.model]) >= need.replicas_min:
            return
        has_room = layout.free.get(target, 0) >= size
        if has_room and layout.can_hold(need, target):
            layout.add(need.key.model, target)


def _add(layout: Layout, need: ModelNeed) -> bool:
    target = layout.find_room(need)
    if target is None:
        return _add_by_removal(layout, need) or _add_by_move(layout, need)
    layout.add(need.key.model, target)
    return True


def _add_by_move(layout: Layout, need: ModelNeed) -> bool:
    """Make room by moving one other replica to another target.

    Memory may be free in total and yet too scattered after targets have come
    and gone. The smallest replica that is large enough moves.
    """
    for target in layout.scan(need):
        missing = size_bundle(need) - layout.free[target]
        movable = sorted(
            (size_bundle(layout.needs[model]), model)
            for model in layout.models[target]
            if size_bundle(layout.needs[model]) >= missing
        )
        for _, model in movable:
            other = layout.find_room(layout.needs[model])
            if other is not None and other != target:
                layout.add(model, other)
                layout.remove(model, target)
                layout.add(need.key.model, target)
                return True
    return False


def _add_by_removal(layout: Layout, need: ModelNeed) -> bool:
    for target in layout.scan(need):
        removed = make_room(layout, need, target)
        if removed is None:
            continue
        for model in removed:
            layout.remove(model, target)
        layout.add(need.key.model, target)
        return True
    return False
