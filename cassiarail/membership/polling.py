"""Poll the load of targets, each by one or two controllers."""

import random

import anyio

from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import CassiarailError
from cassiarail.core.lifecycle import Component
from cassiarail.membership.exchange import MembershipNode
from cassiarail.membership.ports import LoadSource
from cassiarail.membership.revisions import hash_name, rank_pair

_POLL_S = 1.0
_POLL_TIMEOUT_S = 0.9
_POLLERS = 2
# The second controller by rank polls every fifth second. It covers a first
# one that can reach its peers but not the target.
_SECOND_POLLER_TICKS = 5
_PHASES = 1000


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
        """Take the node that spreads the reports."""
        self._node = node
        self._source = source
        self._clock = clock
        self._generator = generator or random.Random()
        self._ranks: dict[str, int] = {}
        self._ranked_for: tuple[list[str], list[str]] = ([], [])

    async def run(self) -> None:
        """Poll each second until cancelled."""
        tick = 0
        async with anyio.create_task_group() as group:
            while True:
                self._update_ranks()
                for target in self._list_due(tick):
                    group.start_soon(self._poll, target)
                self._node.targets.forget_except(self._ranked_for[1])
                tick += 1
                await self._clock.sleep(_POLL_S)

    def _list_due(self, tick: int) -> list[str]:
        return [
            target
            for target, rank in self._ranks.items()
            if rank == 0
            or (tick + hash_name(target)) % _SECOND_POLLER_TICKS == 0
        ]

    def _update_ranks(self) -> None:
        live = self._node.peers.list_live()
        targets = self._source.list_targets()
        if (live, targets) == self._ranked_for:
            return
        self._ranked_for = (live, targets)
        self._ranks = {}
        for target in targets:
            rank = _find_rank(target, live, self._node.address)
            if rank < _POLLERS:
                self._ranks[target] = rank

    async def _poll(self, target: str) -> None:
        """Poll one target at its own phase of the second."""
        await self._clock.sleep(hash_name(target) % _PHASES / _PHASES)
        started_at = self._clock.monotonic()
        try:
            with anyio.fail_after(_POLL_TIMEOUT_S):
                observation = await self._source.poll(target)
        except (CassiarailError, TimeoutError):
            # Gateways judge failing targets by their own requests.
            return
        self._node.observe_load(target, observation, started_at)


def _find_rank(target: str, live: list[str], address: str) -> int:
    """Return how many live members outrank an address for a target."""
    own = rank_pair(target, address)
    return sum(1 for member in live if rank_pair(target, member) > own)
