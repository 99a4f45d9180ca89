"""Queue requests fairly by caller within ageing priorities."""

import collections
from collections.abc import Callable, Iterable
from typing import Generic, NamedTuple, TypeVar

from cassiarail.core.clock import Clock

_Payload = TypeVar('_Payload')
_MIN_WEIGHT = 0.1
FindWeight = Callable[[str], float]


class Pool(NamedTuple):
    """List the targets that may run a request and those it prefers."""

    names: tuple[str, ...]
    preferred: tuple[str, ...] = ()


class Ticket(NamedTuple, Generic[_Payload]):
    """Hold one waiting request."""

    caller: str
    priority: int
    pool: Pool
    queued_at: float
    payload: _Payload


_Tickets = collections.deque[Ticket[_Payload]]


def weigh_equally(caller: str) -> float:
    """Return the same weight for each caller."""
    return 1


class _Flow(Generic[_Payload]):
    """Hold the waiting requests of one caller at one priority, by pool."""

    def __init__(self) -> None:
        self.by_pool: dict[Pool, _Tickets[_Payload]] = {}
        self.deficit = float(0)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.by_pool.values())

    def push(self, ticket: Ticket[_Payload]) -> None:
        """Append a request."""
        queue = self.by_pool.setdefault(ticket.pool, collections.deque())
        queue.append(ticket)

    def remove(self, ticket: Ticket[_Payload]) -> None:
        """Remove a request, and its pool's queue if that is empty now."""
        queue = self.by_pool[ticket.pool]
        queue.remove(ticket)
        if not queue:
            self.by_pool.pop(ticket.pool)

    def find_oldest(
        self,
        pools: frozenset[Pool],
    ) -> Ticket[_Payload] | None:
        """Return the request of the given pools that has waited longest."""
        heads = [
            queue[0] for pool, queue in self.by_pool.items() if pool in pools
        ]
        return min(heads, key=lambda ticket: ticket.queued_at, default=None)


_Flows = collections.OrderedDict[str, _Flow[_Payload]]


class FairQueue(Generic[_Payload]):
    """Serve callers by deficit round robin within ageing priorities.

    The highest priority goes first, but each ``ageing_s`` of waiting raises a
    request by one priority, which prevents starvation. ``find_weight`` returns
    the weight of a caller.
    """

    def __init__(
        self,
        clock: Clock,
        find_weight: FindWeight = weigh_equally,
        ageing_s: float = 1.0,
    ) -> None:
        self._clock = clock
        self._find_weight = find_weight
        self._ageing_s = ageing_s
        self._flows: dict[int, _Flows[_Payload]] = {}
        self._pools: collections.Counter[Pool] = collections.Counter()
        self.last_empty_at = clock.monotonic()

    def __len__(self) -> int:
        return self._pools.total()

    def push(
        self,
        caller: str,
        priority: int,
        pool: Pool,
        payload: _Payload,
    ) -> Ticket[_Payload]:
        """Append a request and return its ticket."""
        now = self._clock.monotonic()
        if not self._pools:
            self.last_empty_at = now
        ticket = Ticket(caller, priority, pool, now, payload)
        flows = self._flows.setdefault(priority, collections.OrderedDict())
        flows.setdefault(caller, _Flow()).push(ticket)
        self._pools[pool] += 1
        return ticket

    def list_pools(self) -> list[Pool]:
        """Return the pools that requests wait for."""
        return list(self._pools)

    def remove(self, ticket: Ticket[_Payload]) -> None:
        """Remove a waiting request."""
        flows = self._flows[ticket.priority]
        flow = flows[ticket.caller]
        flow.remove(ticket)
        if not flow.by_pool:
            flows.pop(ticket.caller)
        if not flows:
            self._flows.pop(ticket.priority)
        self._pools[ticket.pool] -= 1
        if not self._pools[ticket.pool]:
            self._pools.pop(ticket.pool)

    def pop(self, pools: Iterable[Pool]) -> Ticket[_Payload] | None:
        """Remove and return the next request for one of the pools."""
        eligible = frozenset(pools)
        priority = self._choose_priority(eligible)
        if priority is None:
            return None
        ticket = self._select_by_deficit(self._flows[priority], eligible)
        self.remove(ticket)
        return ticket

    def count_ahead(self, caller: str, priority: int, pool: Pool) -> float:
        """Return the requests expected to be served before a new one.

        Higher priorities are served first. Within a priority, a caller waits
        for its own requests and the share of the others meanwhile.
        """
        names = frozenset(pool.names)
        ahead = float(0)
        for level, flows in self._flows.items():
            waiting = {
                name: _count_competing(flow, names)
                for name, flow in flows.items()
            }
            if level > priority:
                ahead += sum(waiting.values())
            elif level == priority:
                ahead += self._count_ahead_in_rounds(caller, waiting)
        return ahead

    def count_caller(self, caller: str) -> int:
        """Return the waiting requests of a caller."""
        return sum(
            len(flows[caller])
            for flows in self._flows.values()
            if caller in flows
        )

    def count_callers(self) -> int:
        """Return the callers with waiting requests."""
        return len({name for flows in self._flows.values() for name in flows})

    def _count_ahead_in_rounds(
        self, caller: str, waiting: dict[str, int]
    ) -> float:
        own = waiting.get(caller, 0)
        rounds = (own + 1) / self._find_weight(caller)
        return own + sum(
            min(count, rounds * self._find_weight(name))
            for name, count in waiting.items()
            if name != caller
        )

    def _choose_priority(self, eligible: frozenset[Pool]) -> int | None:
        now = self._clock.monotonic()
        aged: dict[int, float] = {}
        for priority, flows in self._flows.items():
            oldest = [flow.find_oldest(eligible) for flow in flows.values()]
            times = [ticket.queued_at for ticket in oldest if ticket]
            if times:
                waited = now - min(times)
                aged[priority] = priority + waited // self._ageing_s
        return max(
            aged,
            key=lambda level: (aged[level], level),
            default=None,
        )

    def _select_by_deficit(
        self,
        flows: _Flows[_Payload],
        eligible: frozenset[Pool],
    ) -> Ticket[_Payload]:
        """Return the next request by deficit round robin.

        The first caller is served until its deficit is used up, then moves to
        the end. At least one flow must hold an eligible request.
        """
        while True:
            caller, flow = next(iter(flows.items()))
            ticket = flow.find_oldest(eligible)
            if ticket is not None and flow.deficit >= 1:
                flow.deficit -= 1
                return ticket
            flows.move_to_end(caller)
            if ticket is not None:
                flow.deficit += max(_MIN_WEIGHT, self._find_weight(caller))


def _count_competing(flow: _Flow[_Payload], names: frozenset[str]) -> int:
    """Return the requests of a flow that compete for the named targets."""
    return sum(
        len(queue)
        for pool, queue in flow.by_pool.items()
        if not names.isdisjoint(pool.names)
    )
