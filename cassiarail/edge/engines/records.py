"""Track the state of each engine for the leader."""

from collections.abc import Iterable, Iterator, Mapping

from cassiarail.core.clock import Clock
from cassiarail.edge.registry.targets import Holdings, ModelVariant, Target
from cassiarail.placement.fleet import EngineState, HeldSize, ModelFacts

# Time from an order until its adapter is ready: ten milliseconds plus what the
# fullest store adds.
ADAPTER_READY_S = 0.012
# Entries of the registry show a change within two heartbeats.
_ENTRY_LAG_S = 3.0
# An unload waits for the running requests of its model; after this the model
# to load in its place is planned again.
_INTENDED_TTL_S = 4.0
# An unload waits at least about this long for the running requests.
_MIN_DRAIN_S = 0.4
# Time from an order or a report request to its response.
_RESPONSE_S = 0.1


class EngineRecord:
    """Track the orders that an engine has accepted and its progress."""

    def __init__(self, target: Target, clock: Clock) -> None:
        self.target = target
        self.holdings = target.holdings
        self.loading: ModelVariant | None = None
        self.unloading: ModelVariant | None = None
        self.intended = ''
        self.intended_until = float(0)
        self.ready_at = float(0)
        self.has_call_in_flight = False
        self.needs_report = True
        self.blocked_since = clock.monotonic()
        self.report_after = float(0)
        self.loaded_at: dict[str, float] = {}
        self.changed_at = float(0)
        self._sizes: dict[str, HeldSize] = {}
        self._clock = clock

    def update(self, entry: Target) -> None:
        """Compare the registry's entry with the record.

        An entry may be older than the record. It shows the end of a load;
        other differences that persist are resolved by the engine's report.
        """
        self.target = entry
        self.holdings = self.holdings._replace(
            in_memory=entry.holdings.in_memory,
            on_disk=entry.holdings.on_disk,
        )
        listed = entry.holdings.models
        if self.loading and self.loading.model in listed:
            self._replace_holdings(
                self.holdings._replace(
                    models={
                        **self.holdings.models,
                        self.loading.model: listed[self.loading.model],
                    },
                ),
            )
        if self.unloading and self.unloading.model not in listed:
            self._replace_holdings(
                _remove_model(self.holdings, self.unloading.model)
            )
            self.unloading = None
        now = self._clock.monotonic()
        if now - self.changed_at < _ENTRY_LAG_S or self.pending_change:
            return
        if set(listed) != set(self.holdings.models):
            self.require_report()
            self.changed_at = now

    def apply_report(self, holdings: Holdings, *, is_busy: bool) -> None:
        """Apply the engine's own report.

        A report doesn't name what an order of a previous leader is loading,
        so an engine that is busy with such an order is queried again.
        """
        self.needs_report = False
        if is_busy and self.pending_change is None:
            self.require_report()
        if not holdings.in_memory and not holdings.on_disk:
            holdings = holdings._replace(
                in_memory=self.holdings.in_memory,
                on_disk=self.holdings.on_disk,
            )
        if not is_busy:
            self.loading = None
            self.unloading = None
        if self.unloading:
            holdings = _remove_model(holdings, self.unloading.model)
        self._replace_holdings(holdings)

    def require_report(self) -> None:
        """Block orders until the engine has reported what it holds."""
        if not self.needs_report:
            self.needs_report = True
            self.blocked_since = self._clock.monotonic()

    def accept_order(
        self,
        variant: ModelVariant,
        *,
        is_load: bool,
        expected_s: float,
        is_new: bool = True,
    ) -> None:
        """Record an order that the engine has accepted.

        ``is_new`` is false for an order whose result was already in place.
        """
        models = dict(self.holdings.models)
        now = self._clock.monotonic()
        self.changed_at = now
        if variant.adapter:
            held = models.get(variant.model, frozenset())
            change = frozenset((variant.adapter,))
            models[variant.model] = held | change if is_load else held - change
        elif is_load:
            self.loading = variant
            self.intended = ''
            self.ready_at = now + expected_s
        else:
            models.pop(variant.model, None)
            self.unloading = variant
            self.ready_at = now
        self.holdings = self.holdings._replace(
            order_count=self.holdings.order_count + is_new,
            models=models,
        )

    def record_intended(self, model: str) -> None:
        """Record the model for which another one is unloaded."""
        if model:
            self.intended = model
            self.intended_until = self._clock.monotonic() + _INTENDED_TTL_S

    def record_sizes(
        self, models: Mapping[str, ModelFacts], ordered: str = ''
    ) -> None:
        """Record the largest configured sizes of the models in memory.

        ``ordered`` is a model that an order is about to load.
        """
        names = {*self.holdings.models, ordered}
        if self.loading:
            names.add(self.loading.model)
        for name in names.intersection(models):
            facts = models[name]
            size = HeldSize(facts.weights_bytes, facts.adapter_bytes)
            self._sizes[name] = size.combine(self._sizes.get(name))

    def describe(
        self,
        capacity_bytes: int,
        adapter_slots: int,
        adapter_idle_s: Mapping[tuple[str, str], float],
    ) -> EngineState:
        """Return the state of the engine for the planner."""
        now = self._clock.monotonic()
        return EngineState(
            name=self.target.instance,
            capacity_bytes=capacity_bytes,
            adapter_slots=adapter_slots,
            slots=self.target.slots,
            held=self.holdings.models,
            loading=self.loading.model if self.loading else '',
            intended=self.intended if now < self.intended_until else '',
            is_busy=self.is_busy,
            free_in_s=self._free_in_s(now),
            in_memory=self.holdings.in_memory,
            on_disk=self.holdings.on_disk,
            loaded_s={
                model: now - loaded_at
                for model, loaded_at in self.loaded_at.items()
            },
            adapter_idle_s=adapter_idle_s,
            sizes=self._sizes,
        )

    def check_overdue(self, now: float, overdue_s: float) -> None:
        """Require a report if no entry shows the end of an order in time."""
        if self.pending_change and now > self.ready_at + overdue_s:
            self.ready_at = now
            self.require_report()

    @property
    def pending_change(self) -> ModelVariant | None:
        """Return what is being loaded or unloaded."""
        return self.loading or self.unloading

    @property
    def is_busy(self) -> bool:
        """Return whether the engine can't be sent an order now."""
        return (
            self.has_call_in_flight
            or self.needs_report
            or self.pending_change is not None
        )

    def is_report_due(self, now: float) -> bool:
        """Return whether to query the engine for its holdings."""
        return (
            self.needs_report
            and not self.has_call_in_flight
            and now >= self.report_after
        )

    def _free_in_s(self, now: float) -> float:
        """Return the seconds until the engine accepts the next order.

        An operation that exceeds its expected time is assumed to take as long
        again as it is overdue.
        """
        if self.loading:
            return max(self.ready_at - now, now - self.ready_at, 0)
        if self.unloading:
            return max(_MIN_DRAIN_S, now - self.changed_at)
        if self.needs_report:
            return max(_RESPONSE_S, now - self.blocked_since)
        return _RESPONSE_S if self.has_call_in_flight else 0

    def _replace_holdings(self, holdings: Holdings) -> None:
        now = self._clock.monotonic()
        for model in holdings.models:
            if model not in self.holdings.models:
                self.loaded_at[model] = now
        if self.loading and self.loading.model in holdings.models:
            self.loading = None
        self.holdings = holdings
        loading = self.loading.model if self.loading else ''
        self._sizes = {
            name: size
            for name, size in self._sizes.items()
            if name in holdings.models or name == loading
        }


class EngineRecords:
    """Hold the records of all engines that accept orders."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[tuple[str, int], EngineRecord] = {}

    def __iter__(self) -> Iterator[EngineRecord]:
        return iter(self._records.values())

    def update(self, targets: Iterable[Target]) -> None:
        """Replace the set of engines by targets that aren't leaving."""
        current = {target.identity: target for target in targets}
        for identity in list(self._records):
            if identity not in current:
                self._records.pop(identity)
        for identity, target in current.items():
            record = self._records.get(identity)
            if record is None:
                self._records[identity] = EngineRecord(target, self._clock)
            else:
                record.update(target)

    def clear(self) -> None:
        """Remove all records; they belong to an earlier term."""
        self._records.clear()


def _remove_model(holdings: Holdings, model: str) -> Holdings:
    models = {
        name: adapters
        for name, adapters in holdings.models.items()
        if name != model
    }
    return holdings._replace(models=models)
