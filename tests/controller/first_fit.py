"""Place models first-fit, for tests."""

from cassiarail.placement.backends.base import (
    Move,
    MoveKind,
    PlacementPolicy,
    Plan,
)


class FirstFitPolicy(PlacementPolicy):
    """Place the minimum replicas of each model on targets not leaving.

    Copies on leaving targets are unloaded once others are planned.
    """

    name = 'first_fit'

    def plan(self, placement_input):
        free_bytes = {
            target.name: target.memory_bytes
            - sum(
                need.bytes + need.kv_reserve_bytes
                for need in placement_input.models
                if need.key in target.held
            )
            for target in placement_input.targets
        }
        moves = []
        unplaced = {}
        for need in placement_input.models:
            missing = self.place(
                need, placement_input.targets, free_bytes, moves
            )
            if missing:
                unplaced[need.key.model] = 'not enough memory'
        return Plan({}, tuple(moves), unplaced)

    def place(self, need, targets, free_bytes, moves):
        size = need.bytes + need.kv_reserve_bytes
        staying = [target for target in targets if not target.leaving]
        holding_targets = [
            target for target in staying if need.key in target.held
        ]
        # A load that doesn't finish is planned again.
        for target in holding_targets:
            moves.append(Move(MoveKind.LOAD_MODEL, target.name, need.key))
        missing = need.replicas_min - len(holding_targets)
        for target in staying:
            if missing <= 0 or need.key in target.held:
                continue
            if free_bytes[target.name] >= size:
                free_bytes[target.name] -= size
                missing -= 1
                moves.append(Move(MoveKind.LOAD_MODEL, target.name, need.key))
        moves.extend(
            Move(MoveKind.UNLOAD_MODEL, target.name, need.key)
            for target in targets
            if target.leaving and need.key in target.held
        )
        return missing > 0
