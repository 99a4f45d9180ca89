"""Keep the order holder's record of each engine."""

from collections.abc import Iterable, Iterator, Mapping

from cassiarail.core.clock import Clock
from cassiarail.edge.targets import Holdings, ModelVariant, Target
from cassiarail.placement.fleet import (
    EngineState,
)

# An adapter is ready this long after its order; ten milliseconds and what
# the fullest store adds.
ADAPTER_READY_S = 0.012
# Entries follow a change within two heartbeats.
_ENTRY_LAG_S = 3.0
# An unload waits for the runs of its model; after this the plan is made anew.
_INTENT_S = 4.0
# An unload waits for the runs of its model for at least about this long.
_SHORTEST_DRAIN_S = 0.4
# From an order or a question to its answer.
_ANSWER_S = 0.1
# Stands for an engine that has had no order of this holder.
_LONG_AGO_S = 3600.0


class EngineRecord:
    """Hold what an engine has accepted and what it is doing."""

    def __init__(self, target: Target, clock: Clock) -> None:
        self.target = target
        self.holdings = target.holdings
        self.loading: ModelVariant | None = None
        self.unloading: ModelVariant | None = None
        self.intended = ''
        self.intended_until = float(0)
        self.ready_at = float(0)
        self.in_order = False
        self.ordered_at = clock.monotonic() - _LONG_AGO_S
        self.needs_report = True
        self.blocked_since = clock.monotonic()
        self.report_after = float(0)
        self.loaded_at: dict[str, float] = {}
        self.changed_at = float(0)
        self._clock = clock

    def follow(self, entry: Target) -> None:
        """Compare the registry's entry with the record.

        An entry may be older than the record. It shows the end of a load;
        other differences that last are settled by the engine's report.
        """
        self.target = entry
        self.holdings = self.holdings._replace(
            in_memory=entry.holdings.in_memory,
            on_disk=entry.holdings.on_disk,
        )
        listed = entry.holdings.models
        if self.loading and self.loading.model in listed:
            self._adopt(
                self.holdings._replace(
                    models={
                        **self.holdings.models,
                        self.loading.model: listed[self.loading.model],
                    },
                ),
            )
        if self.unloading and self.unloading.model not in listed:
            self._adopt(_without(self.holdings, self.unloading.model))
            self.unloading = None
        now = self._clock.monotonic()
        if now - self.changed_at < _ENTRY_LAG_S or self.settling:
            return
        if set(listed) != set(self.holdings.models):
            self.ask_report()
            self.changed_at = now

    def take_report(self, holdings: Holdings, *, is_busy: bool) -> None:
        """Take the engine's own word.

        A report doesn't name what an order of an earlier holder is loading,
        so that an engine which is busy with one has to be asked again.
        """
        self.needs_report = False
        if is_busy and self.settling is None:
            self.ask_report()
        if not holdings.in_memory and not holdings.on_disk:
            holdings = holdings._replace(
                in_memory=self.holdings.in_memory,
                on_disk=self.holdings.on_disk,
            )
        if not is_busy:
            self.loading = None
            self.unloading = None
        if self.unloading:
            holdings = _without(holdings, self.unloading.model)
        self._adopt(holdings)

    def ask_report(self) -> None:
        """Give no order until the engine has told what it holds."""
        if not self.needs_report:
            self.needs_report = True
            self.blocked_since = self._clock.monotonic()

    def accept_order(
        self,
        want: ModelVariant,
        *,
        is_load: bool,
        expected_s: float,
        has_advanced: bool = True,
    ) -> None:
        """Record an order that the engine has accepted.

        ``has_advanced`` is false for an order that held already.
        """
        models = dict(self.holdings.models)
        now = self._clock.monotonic()
        self.changed_at = now
        if want.adapter:
            held = models.get(want.model, frozenset())
            change = frozenset((want.adapter,))
            models[want.model] = held | change if is_load else held - change
        elif is_load:
            self.loading = want
            self.intended = ''
            self.ready_at = now + expected_s
        else:
            models.pop(want.model, None)
            self.unloading = want
            self.ready_at = now
        self.holdings = self.holdings._replace(
            order_count=self.holdings.order_count + has_advanced,
            models=models,
        )

    def intend(self, model: str) -> None:
        """Remember for which model another one is unloaded."""
        if model:
            self.intended = model
            self.intended_until = self._clock.monotonic() + _INTENT_S

    def describe(
        self,
        capacity_bytes: int,
        adapter_places: int,
        adapter_idle_s: Mapping[tuple[str, str], float],
    ) -> EngineState:
        """Return the engine as the planner sees it."""
        now = self._clock.monotonic()
        return EngineState(
            name=self.target.instance,
            capacity_bytes=capacity_bytes,
            adapter_places=adapter_places,
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
        )

    def idle_s(self) -> float:
        """Return how long ago the last order was sent."""
        return self._clock.monotonic() - self.ordered_at

    def check_late(self, now: float, late_s: float) -> None:
        """Ask for a report if an entry doesn't show the end of an order."""
        if self.settling and now > self.ready_at + late_s:
            self.ready_at = now
            self.ask_report()

    @property
    def settling(self) -> ModelVariant | None:
        """Return what is being loaded or unloaded."""
        return self.loading or self.unloading

    @property
    def is_busy(self) -> bool:
        """Tell whether no order can be given now."""
        return self.in_order or self.needs_report or self.settling is not None

    def is_report_due(self, now: float) -> bool:
        """Tell whether the engine has to be asked what it holds."""
        return (
            self.needs_report and not self.in_order and now >= self.report_after
        )

    def _free_in_s(self, now: float) -> float:
        """Return when the engine takes the next order.

        What has taken longer than expected is taken to last as long again.
        """
        if self.loading:
            return max(self.ready_at - now, now - self.ready_at, 0)
        if self.unloading:
            return max(_SHORTEST_DRAIN_S, now - self.changed_at)
        if self.needs_report:
            return max(_ANSWER_S, now - self.blocked_since)
        return _ANSWER_S if self.in_order else 0

    def _adopt(self, holdings: Holdings) -> None:
        now = self._clock.monotonic()
        for model in holdings.models:
            if model not in self.holdings.models:
                self.loaded_at[model] = now
        if self.loading and self.loading.model in holdings.models:
            self.loading = None
        self.holdings = holdings


class EngineRecords:
    """Hold the records of all engines that take orders."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[tuple[str, int], EngineRecord] = {}

    def __iter__(self) -> Iterator[EngineRecord]:
        return iter(self._records.values())

    def follow(self, targets: Iterable[Target]) -> None:
        """Take the targets that are engines and don't leave."""
        current = {target.identity: target for target in targets}
        for identity in list(self._records):
            if identity not in current:
                self._records.pop(identity)
        for identity, target in current.items():
            record = self._records.get(identity)
            if record is None:
                self._records[identity] = EngineRecord(target, self._clock)
            else:
                record.follow(target)

    def clear(self) -> None:
        """Forget all; another host gives orders from now on."""
        self._records.clear()


def _without(holdings: Holdings, model: str) -> Holdings:
    models = {
        name: adapters
        for name, adapters in holdings.models.items()
        if name != model
    }
    return holdings._replace(models=models)
