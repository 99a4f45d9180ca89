"""Place the base replicas that every policy must keep.

They are placed before any replica that follows demand: one of each model
first, so that every model is reachable, then the declared minimum.
"""

from cassiarail.placement.backends.base import ModelNeed
from cassiarail.placement.homes import size_bundle
from cassiarail.placement.layout import Layout, list_forbidden


def place_base_replicas(layout: Layout) -> dict[str, str]:
    """Add missing base replicas; return the models that don't fit, and why."""
    for model, target in tuple(list_forbidden(layout, tuple(layout.needs))):
        layout.remove(model, target)
    ordered = sorted(
        (need for need in layout.needs.values() if need.replicas_min),
        key=lambda need: (-size_bundle(need), need.key.model),
    )
    for need in ordered:
        _place_at_base_assignments(layout, need)
    unplaced: dict[str, str] = {}
    for need in ordered:
        if not layout.replicas[need.key.model] and not _add_replica(
            layout, need
        ):
            unplaced[need.key.model] = (
                f'no target has {size_bundle(need)} bytes left'
            )
    for need in ordered:
        while len(layout.replicas[need.key.model]) < need.replicas_min:
            if not _add_replica(layout, need):
                break
    return unplaced


def choose_removals(
    layout: Layout, need: ModelNeed, target: str
) -> list[str] | None:
    """Return the surplus models to remove so that a replica fits a target.

    A model is surplus where it has more replicas than its minimum, which is
    zero for models whose home is another data centre. The least loaded are
    removed first. Return ``None`` if removing all of them is not enough.
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
    """Return whether a model has more replicas than its minimum."""
    return len(layout.replicas[model]) > layout.needs[model].replicas_min


def _place_at_base_assignments(layout: Layout, need: ModelNeed) -> None:
    """Place base replicas at the targets that were assigned to them."""
    size = size_bundle(need)
    for target in need.base_assignments:
        if len(layout.replicas[need.key.model]) >= need.replicas_min:
            return
        fits = layout.free.get(target, 0) >= size
        if fits and layout.allows_replica(need, target):
            layout.add(need.key.model, target)


def _add_replica(layout: Layout, need: ModelNeed) -> bool:
    target = layout.find_target(need)
    if target is None:
        return _add_by_removal(layout, need) or _add_by_move(layout, need)
    layout.add(need.key.model, target)
    return True


def _add_by_move(layout: Layout, need: ModelNeed) -> bool:
    """Free memory by moving one other replica to another target.

    Free memory may be fragmented over the targets after targets were added
    and removed. The smallest replica that is large enough is moved.
    """
    for target in layout.scan_targets(need):
        missing = size_bundle(need) - layout.free[target]
        movable = sorted(
            (size_bundle(layout.needs[model]), model)
            for model in layout.models[target]
            if size_bundle(layout.needs[model]) >= missing
        )
        for _, model in movable:
            other = layout.find_target(layout.needs[model])
            if other is not None and other != target:
                layout.add(model, other)
                layout.remove(model, target)
                layout.add(need.key.model, target)
                return True
    return False


def _add_by_removal(layout: Layout, need: ModelNeed) -> bool:
    for target in layout.scan_targets(need):
        removed = choose_removals(layout, need, target)
        if removed is None:
            continue
        for model in removed:
            layout.remove(model, target)
        layout.add(need.key.model, target)
        return True
    return False
