"""Poll the load of targets, each from up to two controllers."""

import collections
import functools
import math
import random

import anyio
from anyio.abc import TaskGroup

from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import CassiarailError
from cassiarail.core.lifecycle import Component
from cassiarail.membership.exchange import MembershipNode
from cassiarail.membership.ports import LoadSource
from cassiarail.membership.revisions import compute_rendezvous_weight, hash_name

_POLL_INTERVAL_S = 1.0
_POLL_TIMEOUT_S = 0.9
_POLLERS_PER_TARGET = 2
# The controller of second rank polls every fifth second. It compensates for a
# first one that can reach its peers but not the target.
_SECOND_POLLER_TICKS = 5
_OFFSET_STEPS = 1000


class LoadPoller(Component):
    """Poll the targets for which this controller ranks first or second."""

    name = 'polling'

    def __init__(
        self,
        node: MembershipNode,
        source: LoadSource,
        clock: Clock,
        generator: random.Random | None = None,
    ) -> None:
        """Initialize with the node that publishes the reports."""
        self._node = node
        self._source = source
        self._clock = clock
        self._generator = generator or random.Random()
        self._ranks: dict[str, int] = {}
        self._rank_inputs: tuple[list[str], list[str]] = ([], [])

    async def run(self) -> None:
        """Poll each second until cancelled."""
        tick = 0
        async with anyio.create_task_group() as group:
            while True:
                self._update_ranks()
                for target in self._list_due(tick):
                    group.start_soon(self._poll_at_offset, target)
                self._node.targets.remove_stale(self._rank_inputs[1])
                tick += 1
                await self._wait_tick(group)

    async def _wait_tick(self, group: TaskGroup) -> None:
        """Wait for the next second, and poll newly assigned targets at once.

        These are the targets of a member that is no longer live.
        """
        ends_at = self._clock.monotonic() + _POLL_INTERVAL_S
        while self._clock.monotonic() < ends_at:
            with anyio.move_on_after(ends_at - self._clock.monotonic()):
                await self._node.peers.live_changed.wait()
            for target in self._update_ranks():
                group.start_soon(self._poll_now, target)

    def get_rank(self, target: str) -> int | None:
        """Return the poller rank of this node for a target.

        0 is the first poller, 1 the second, ``None`` neither.
        """
        return self._ranks.get(target)

    def _list_due(self, tick: int) -> list[str]:
        return [
            target
            for target, rank in self._ranks.items()
            if rank == 0
            or (tick + hash_name(target)) % _SECOND_POLLER_TICKS == 0
        ]

    def _update_ranks(self) -> list[str]:
        """Return the targets for which this node became the first poller."""
        live = self._node.peers.list_live()
        targets = self._source.list_targets()
        if (live, targets) == self._rank_inputs:
            return []
        self._rank_inputs = (live, targets)
        previous_ranks = self._ranks
        self._ranks = assign_ranks(targets, live, self._node.address)
        return [
            name
            for name, rank in self._ranks.items()
            if rank == 0 and previous_ranks.get(name) != 0
        ]

    async def _poll_at_offset(self, target: str) -> None:
        """Poll one target at its own offset within the second."""
        await self._clock.sleep(
            hash_name(target) % _OFFSET_STEPS / _OFFSET_STEPS
        )
        await self._poll_now(target)

    async def _poll_now(self, target: str) -> None:
        poll_started_at = self._clock.monotonic()
        try:
            with anyio.fail_after(_POLL_TIMEOUT_S):
                observation = await self._source.poll(target)
        except (CassiarailError, TimeoutError):
            # Gateways detect failing targets through their own requests.
            return
        self._node.record_observation(
            target,
            observation,
            poll_started_at,
            is_first_poller=self._ranks.get(target) == 0,
        )


def assign_ranks(
    targets: list[str],
    live: list[str],
    address: str,
) -> dict[str, int]:
    """Return the targets that a member polls, with its rank for each.

    A target is assigned to the members with the highest rendezvous weights
    that have free capacity. Without the capacity limit, the most loaded of 54
    members polls almost three times the average.
    """
    capacity = math.ceil(len(targets) / max(1, len(live)))
    counts: collections.Counter[tuple[int, str]] = collections.Counter()
    ranks = {}
    for target in sorted(targets):
        ordered = sorted(
            live, key=functools.partial(compute_rendezvous_weight, target)
        )
        for rank in range(min(_POLLERS_PER_TARGET, len(live))):
            chosen = _choose_poller(ordered, rank, capacity, counts)
            ordered.remove(chosen)
            counts[rank, chosen] += 1
            if chosen == address:
                ranks[target] = rank
    return ranks


def _choose_poller(
    ordered: list[str],
    rank: int,
    capacity: int,
    counts: collections.Counter[tuple[int, str]],
) -> str:
    for member in reversed(ordered):
        if counts[rank, member] < capacity:
            return member
    return ordered[-1]
