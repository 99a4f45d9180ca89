"""Estimate what evicting or not loading a model costs its callers.

Costs are counted in requests that end late, refused or failed. Requests whose
objective is shorter than a swap need their model resident; others can wait
until it is swapped in, so that many such models share little memory.
"""

import collections

from cassiarail.placement.fleet import (
    EngineState,
    Fleet,
    ModelDemand,
    ModelFacts,
    count_adapters,
    list_models,
)
from cassiarail.placement.memory import MemoryAccount

# One copy serves requests up to this share of the slots of its engine.
COPY_SHARE = 0.45
# An engine that uses a larger share of its slots delays requests, because
# arrivals are bursty.
_MAX_SLOT_SHARE = 0.7
# Delay of orders, reports and demand reports around a load from disk.
_SWAP_OVERHEAD_S = 0.4
# Requests for an evicted resident model keep arriving until it is back, which
# takes the eviction of another model.
_RESIDENT_OUTAGE_S = 6.0
# A copy on another engine must lower slot utilisation by more than this.
_MIN_RELIEF = 0.1
# Extra queueing in seconds when one of too few copies is unloaded.
_CONGESTION_DELAY_S = 1.5
_REDUNDANT_DELAY_S = 0.05
# An unload waits for the running requests of its model, while the engine
# accepts no order; a stream of average length runs for about this long.
_DRAIN_S = 1.0
# Prior value, in requests, of a model without requests so far. It decays
# while demand is known and the model stays unrequested.
_PRIOR = 0.4
_PRIOR_LIFETIME_S = 8.0
# Evicting takes two orders and keeps the engine busy for a moment.
_MOVE_COST = 0.2
# Breaks ties between idle models: the longest idle one is evicted first.
_RECENCY_WEIGHT = 0.1
_NO_DEMAND = ModelDemand(idle_s=float('inf'), objective_s=float('inf'))


class ImpactModel:
    """Estimate costs for one fleet snapshot and the copies that a plan adds."""

    def __init__(self, fleet: Fleet) -> None:
        self.copies: collections.Counter[str] = collections.Counter()
        self.memory = MemoryAccount(fleet.models)
        self._fleet = fleet
        self._slots = max((each.slots for each in fleet.engines), default=1)
        self._largest_adapter = max(
            (each.adapter_bytes for each in fleet.models.values()),
            default=0,
        )
        for engine in fleet.engines:
            self.copies.update(list_models(engine))
        self._lowest_utilisations = self._find_lowest_utilisations()

    def demand(self, name: str) -> ModelDemand:
        """Return the demand for a model."""
        return self._fleet.demand.get(name, _NO_DEMAND)

    def is_missing(self, name: str) -> bool:
        """Return whether no engine holds or will hold a model."""
        return self.copies[name] <= 0

    def must_stay_resident(self, facts: ModelFacts) -> bool:
        """Return whether requests can't wait until a model is swapped in."""
        swap_s = facts.disk_load_s + _SWAP_OVERHEAD_S
        return self.demand(facts.name).objective_s < swap_s

    def required_copies(self, name: str) -> int:
        """Return how many copies the demand requires."""
        running = self.demand(name).in_flight
        required = 1 + int(running / (COPY_SHARE * self._slots))
        if self._lowest_utilisations.get(name, 0) > _MAX_SLOT_SHARE:
            required = max(required, self.copies[name] + 1)
        return required

    def utilisation(self, engine: EngineState) -> float:
        """Return the share of an engine's slots that its models use."""
        running = sum(
            self.demand(name).in_flight / max(1, self.copies[name])
            for name in engine.held
        )
        return running / max(1, engine.slots)

    def congestion_cost(self, name: str, engine: EngineState) -> float:
        """Return the cost of adding a model's requests to an engine."""
        demand = self.demand(name)
        rate = demand.requests_per_s / (1 + self.copies[name])
        return rate * self.utilisation(engine) * _CONGESTION_DELAY_S

    def gain(self, facts: ModelFacts, utilisation: float) -> float:
        """Return the cost that another copy of a model avoids.

        ``utilisation`` is that of the engine that would hold the copy: a copy
        on an engine as full as the others brings no relief.
        """
        demand = self.demand(facts.name)
        if self.is_missing(facts.name):
            rate = demand.requests_per_s + demand.waiting
            return rate * self._outage_s(facts)
        lowest_utilisation = self._lowest_utilisations.get(facts.name, 0)
        if lowest_utilisation - utilisation < _MIN_RELIEF:
            return 0
        own_utilisation = demand.in_flight / (
            self.copies[facts.name] * self._slots
        )
        excess = max(
            0,
            own_utilisation - COPY_SHARE,
            lowest_utilisation - _MAX_SLOT_SHARE,
        )
        return demand.requests_per_s * excess * _CONGESTION_DELAY_S

    def eviction_cost(self, name: str) -> float:
        """Return the cost of unloading one copy of a model."""
        facts = self._fleet.models.get(name)
        if facts is None:
            return 0
        demand = self.demand(name)
        copies = max(1, self.copies[name])
        rate = demand.requests_per_s + demand.waiting
        if copies == 1:
            cost = rate * self._outage_s(facts) + self._reload_cost(facts)
        elif copies <= self.required_copies(name):
            cost = rate * _CONGESTION_DELAY_S
        else:
            cost = rate * _REDUNDANT_DELAY_S
        if copies <= max(1, self._fleet.initial_copies.get(name, 0)):
            cost += self._prior(name)
        cost += demand.in_flight / copies * _DRAIN_S
        return cost + _MOVE_COST + _RECENCY_WEIGHT / (1 + demand.idle_s)

    def free_bytes(self, engine: EngineState) -> int:
        """Return the memory that another model may use.

        Memory for free adapter slots is reserved: orders for adapters may
        arrive while the model loads.
        """
        free_slots = engine.adapter_slots - count_adapters(engine)
        reserve = self._largest_adapter * max(0, free_slots)
        return self.memory.free_bytes(engine) - reserve

    def adapter_rate(self, engine: EngineState) -> float:
        """Return the requests per second that may need an adapter there.

        An engine accepts no order for adapters while it loads a model.
        """
        return sum(
            self.demand(name).adapter_per_s / max(1, self.copies[name])
            for name in engine.held
        )

    def lowest_utilisation(self) -> float:
        """Return the lowest utilisation of any engine."""
        return min(map(self.utilisation, self._fleet.engines), default=0)

    def _find_lowest_utilisations(self) -> dict[str, float]:
        """Return the lowest utilisation of any engine, by model held."""
        lowest: dict[str, float] = {}
        for engine in self._fleet.engines:
            utilisation = self.utilisation(engine)
            for name in engine.held:
                lowest[name] = min(utilisation, lowest.get(name, utilisation))
        return lowest

    def _outage_s(self, facts: ModelFacts) -> float:
        if self.must_stay_resident(facts):
            return _RESIDENT_OUTAGE_S
        return facts.disk_load_s + _SWAP_OVERHEAD_S

    def _reload_cost(self, facts: ModelFacts) -> float:
        """Return how many requests are late while a model is reloaded."""
        swap_s = facts.disk_load_s + _SWAP_OVERHEAD_S
        demand = self.demand(facts.name)
        if not demand.requests_per_s or self.must_stay_resident(facts):
            return 0
        return min(1, swap_s / demand.objective_s)

    def _prior(self, name: str) -> float:
        idle_s = min(self.demand(name).idle_s, self._fleet.demand_known_s)
        fresh = max(0, 1 - idle_s / _PRIOR_LIFETIME_S)
        return _PRIOR * fresh * (1 + self._fleet.initial_copies.get(name, 0))
