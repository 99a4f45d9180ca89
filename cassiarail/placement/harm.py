"""Weigh what callers lose when a model leaves an engine or is missing.

All figures are requests that end late, refused or lost. Requests whose
objective is shorter than a swap need their model resident; others can wait
until it is swapped in, so that many of their models share few places.
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

# One copy carries requests up to this share of the slots of its engine.
COPY_SHARE = 0.45
# An engine whose models together use more of its slots than this delays them;
# arrivals come in bursts.
_FULL_SHARE = 0.7
# Orders, reports and the digests of hosts around a load from disk.
_SWAP_OVERHEAD_S = 0.4
# A resident model that is evicted is asked for until it is back; another
# model has to leave for it in turn.
_RESIDENT_OUTAGE_S = 6.0
# A copy on another engine has to lower the use of slots by more than this.
_LEAST_RELIEF = 0.1
# Requests that queue longer when one of too few copies goes.
_CROWDED_S = 1.5
_REDUNDANT_S = 0.05
# An unload waits for the runs of its model, while the engine takes no order;
# a stream of average length runs for about this long.
_DRAIN_S = 1.0
# What a model counts for that nobody has asked for yet, in requests; it fades
# while demand is known and the model is still not asked for.
_PRIOR = 0.4
_PRIOR_FADES_S = 8.0
# Evicting costs two orders and an engine that is busy for a moment.
_MOVE_HARM = 0.2
# Breaks ties between idle models: the one idle for longest goes first.
_RECENCY = 0.1
# A model that the configuration doesn't describe is taken as a large one.
_UNKNOWN_BYTES = 80_000_000_000
_NO_DEMAND = ModelDemand(idle_s=float('inf'), objective_s=float('inf'))


class HarmModel:
    """Weigh the models of one moment; count copies as a plan changes them."""

    def __init__(self, fleet: Fleet) -> None:
        self.copies: collections.Counter[str] = collections.Counter()
        self._fleet = fleet
        self._slots = max((each.slots for each in fleet.engines), default=1)
        self._largest_adapter = max(
            (each.adapter_bytes for each in fleet.models.values()),
            default=0,
        )
        for engine in fleet.engines:
            self.copies.update(list_models(engine))
        self._least_use = self._find_least_use()

    def demand(self, name: str) -> ModelDemand:
        """Return the demand for a model."""
        return self._fleet.demand.get(name, _NO_DEMAND)

    def is_missing(self, name: str) -> bool:
        """Tell whether no engine holds or will hold a model."""
        return self.copies[name] <= 0

    def needs_residence(self, facts: ModelFacts) -> bool:
        """Tell whether requests can't wait until a model is swapped in."""
        swap_s = facts.disk_load_s + _SWAP_OVERHEAD_S
        return self.demand(facts.name).objective_s < swap_s

    def wanted_copies(self, name: str) -> int:
        """Return how many copies carry the demand."""
        running = self.demand(name).in_flight
        wanted = 1 + int(running / (COPY_SHARE * self._slots))
        if self._least_use.get(name, 0) > _FULL_SHARE:
            wanted = max(wanted, self.copies[name] + 1)
        return wanted

    def use_of(self, engine: EngineState) -> float:
        """Return the share of an engine's slots that its models use."""
        running = sum(
            self.demand(name).in_flight / max(1, self.copies[name])
            for name in engine.held
        )
        return running / max(1, engine.slots)

    def crowding(self, name: str, engine: EngineState) -> float:
        """Return the harm of adding a model's requests to an engine."""
        demand = self.demand(name)
        rate = demand.asked_per_s / (1 + self.copies[name])
        return rate * self.use_of(engine) * _CROWDED_S

    def gain(self, facts: ModelFacts, use: float) -> float:
        """Return the harm that another copy of a model averts.

        ``use`` is that of the engine which would take the copy: a copy on an
        engine that is as full as the others relieves nobody.
        """
        demand = self.demand(facts.name)
        if self.is_missing(facts.name):
            rate = demand.asked_per_s + demand.waiting
            return rate * self._outage_s(facts)
        least_use = self._least_use.get(facts.name, 0)
        if least_use - use < _LEAST_RELIEF:
            return 0
        own_use = demand.in_flight / (self.copies[facts.name] * self._slots)
        excess = max(0, own_use - COPY_SHARE, least_use - _FULL_SHARE)
        return demand.asked_per_s * excess * _CROWDED_S

    def loss(self, name: str) -> float:
        """Return the harm of unloading one copy of a model."""
        facts = self._fleet.models.get(name)
        if facts is None:
            return 0
        demand = self.demand(name)
        copies = max(1, self.copies[name])
        rate = demand.asked_per_s + demand.waiting
        if copies == 1:
            harm = rate * self._outage_s(facts) + self._return_harm(facts)
        elif copies <= self.wanted_copies(name):
            harm = rate * _CROWDED_S
        else:
            harm = rate * _REDUNDANT_S
        if copies <= max(1, self._fleet.initial_copies.get(name, 0)):
            harm += self._prior(name)
        harm += demand.in_flight / copies * _DRAIN_S
        return harm + _MOVE_HARM + _RECENCY / (1 + demand.idle_s)

    def used_bytes(self, engine: EngineState) -> int:
        """Return the memory that models and adapters take, or may take."""
        used = sum(
            self.bytes_of(name, adapters)
            for name, adapters in engine.held.items()
        )
        if engine.loading and engine.loading not in engine.held:
            used += self.bytes_of(engine.loading, frozenset())
        # Adapters come while a model is loading; their places stay free.
        free = engine.adapter_places - count_adapters(engine)
        return used + self._largest_adapter * max(0, free)

    def bytes_of(self, name: str, adapters: frozenset[str]) -> int:
        """Return the memory of a model and its adapters."""
        facts = self._fleet.models.get(name)
        if facts is None:
            return _UNKNOWN_BYTES
        return facts.weights_bytes + facts.adapter_bytes * len(adapters)

    def adapter_rate(self, engine: EngineState) -> float:
        """Return the requests a second that may need an adapter there.

        An engine takes no order for adapters while it loads a model.
        """
        return sum(
            self.demand(name).adapter_per_s / max(1, self.copies[name])
            for name in engine.held
        )

    def lowest_use(self) -> float:
        """Return the use of the least used engine."""
        return min(map(self.use_of, self._fleet.engines), default=0)

    def _find_least_use(self) -> dict[str, float]:
        """Return the use of the least used engine for each model held."""
        least: dict[str, float] = {}
        for engine in self._fleet.engines:
            use = self.use_of(engine)
            for name in engine.held:
                least[name] = min(use, least.get(name, use))
        return least

    def _outage_s(self, facts: ModelFacts) -> float:
        if self.needs_residence(facts):
            return _RESIDENT_OUTAGE_S
        return facts.disk_load_s + _SWAP_OVERHEAD_S

    def _return_harm(self, facts: ModelFacts) -> float:
        """Return the requests that are late when a model has to come back."""
        swap_s = facts.disk_load_s + _SWAP_OVERHEAD_S
        demand = self.demand(facts.name)
        if not demand.asked_per_s or self.needs_residence(facts):
            return 0
        return min(1, swap_s / demand.objective_s)

    def _prior(self, name: str) -> float:
        idle_s = min(self.demand(name).idle_s, self._fleet.demand_known_s)
        fresh = max(0, 1 - idle_s / _PRIOR_FADES_S)
        return _PRIOR * fresh * (1 + self._fleet.initial_copies.get(name, 0))
