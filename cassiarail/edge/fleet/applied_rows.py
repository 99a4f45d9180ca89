"""Apply the rows of state updates to the directory of targets."""

from cassiarail.core.events import emit_event
from cassiarail.edge.events import TARGET_LEAVING
from cassiarail.edge.fleet.messages import StateUpdate
from cassiarail.edge.fleet.rows import read_holdings, read_targets
from cassiarail.edge.registry.followers import log_target
from cassiarail.edge.registry.targets import TargetDirectory, mark_all_leaving


def apply_rows(directory: TargetDirectory, update: StateUpdate) -> bool:
    """Apply the rows of an update; return whether entries have changed."""
    is_changed = mark_all_leaving(directory, update.leaving)
    for target in read_targets(update.targets):
        log_target(directory, target, 'ledger')
        directory.put(target)
    for removed in update.gone:
        if directory.remove_now(removed.instance, removed.revision):
            emit_event(
                TARGET_LEAVING,
                target=removed.instance,
                reason='entry removed',
                revision=removed.revision,
                source='ledger',
            )
    for row in update.engines:
        directory.update_holdings(
            (row.instance, row.born_ms),
            read_holdings(row),
        )
    return is_changed or bool(update.targets or update.gone)
