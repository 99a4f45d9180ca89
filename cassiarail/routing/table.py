"""Index a routing snapshot and count requests in flight."""

import collections
import contextlib
from collections.abc import Iterator, Sequence

from cassiarail.core.clock import Clock
from cassiarail.routing.backends.base import LoadView, RequestNeed
from cassiarail.routing.loads import TargetLoad
from cassiarail.routing.outliers import OutlierDetector, OutlierRules
from cassiarail.routing.snapshot import RoutingSnapshot, TargetState

_EMPTY = RoutingSnapshot(generation=0)


class RoutingTable(LoadView):
    """Provide the targets that may run a request, and their load."""

    def __init__(
        self,
        clock: Clock,
        *,
        report_lag_s: float = 0.5,
        slow_start_s: float = 10.0,
        rules: OutlierRules | None = None,
    ) -> None:
        """Set the lag of load reports and the duration of slow start."""
        self._clock = clock
        self._report_lag_s = report_lag_s
        self._slow_start_s = slow_start_s
        self._snapshot: RoutingSnapshot | None = None
        self._states: dict[str, TargetState] = {}
        self._pools: dict[tuple[str, str], list[TargetState]] = {}
        self._services: dict[str, list[str]] = {}
        self._loads: dict[str, TargetLoad] = {}
        # Instances that refused work because they are leaving, by target name;
        # the snapshot may not show it yet.
        self._leaving: dict[str, str] = {}
        self.outliers = OutlierDetector(
            clock, self._list_service, self._has_substitutes, rules
        )

    @property
    def snapshot(self) -> RoutingSnapshot:
        """Return the current snapshot."""
        return self._snapshot or _EMPTY

    def update(self, snapshot: RoutingSnapshot) -> None:
        """Replace the snapshot.

        Targets of the first snapshot count as warm, because a restarted
        gateway doesn't know their age.
        """
        is_first = self._snapshot is None
        self._snapshot = snapshot
        self._states = {state.name: state for state in snapshot.targets}
        for state in snapshot.targets:
            self._update_load(state, is_first=is_first)
        self._remove_stale_loads()
        self._rebuild_index()
        self._reinstate_required()

    def find_candidates(self, need: RequestNeed) -> Sequence[TargetState]:
        """Return the targets that may run a request, possibly none."""
        adapter = f'{need.model}/{need.adapter}' if need.adapter else ''
        return [
            state
            for state in self._pools.get((need.service, need.model), ())
            if state.name not in need.excluded
            and (not adapter or adapter in state.adapters)
            and not self.is_leaving(state)
            and not self.outliers.is_ejected(state.name)
        ]

    def is_leaving(self, state: TargetState) -> bool:
        """Return whether a target accepts no new work."""
        return state.leaving or (
            self._leaving.get(state.name) == state.instance
        )

    def mark_leaving(self, name: str) -> None:
        """Mark the current instance of a target as leaving."""
        state = self._states.get(name)
        if state is not None:
            self._leaving[name] = state.instance

    @contextlib.contextmanager
    def track(self, name: str) -> Iterator[None]:
        """Count a request in flight at a target while the block runs."""
        self.start(name)
        try:
            yield
        finally:
            self.finish(name)

    def start(self, name: str) -> None:
        """Count a request sent to a target."""
        self._find_load(name).start(self._clock.monotonic())

    def finish(self, name: str) -> None:
        """Count the end of a request at a target."""
        load = self._find_load(name)
        load.finish(self._clock.monotonic())
        if name not in self._states and not load.in_flight:
            self._loads.pop(name)

    def count_in_flight(self, name: str) -> int:
        """Return the requests that this gateway has in flight at a target."""
        load = self._loads.get(name)
        return load.in_flight if load else 0

    def estimate_load(self, name: str) -> float:
        """Return the estimated requests at a target from all gateways."""
        load = self._loads.get(name)
        return load.estimate(self._clock.monotonic()) if load else 0

    def reported_load(self, name: str) -> float:
        """Return the load that a target last reported, uncorrected."""
        state = self._states.get(name)
        if state is None or state.load is None:
            return 0
        return state.load.running + state.load.queued

    def _find_load(self, name: str) -> TargetLoad:
        if name not in self._loads:
            self._loads[name] = TargetLoad(
                self._report_lag_s, self._slow_start_s
            )
        return self._loads[name]

    def _update_load(self, state: TargetState, *, is_first: bool) -> None:
        load = self._find_load(state.name)
        now = self._clock.monotonic()
        if load.instance != state.instance:
            load.begin_instance(state.instance, now, warm=is_first)
            self.outliers.reinstate(state.name)
        if state.load is not None:
            load.record_report(state.load)

    def _remove_stale_loads(self) -> None:
        stale = [
            name
            for name, load in self._loads.items()
            if name not in self._states and not load.in_flight
        ]
        for name in stale:
            self._loads.pop(name)
            self._leaving.pop(name, None)
        self.outliers.retain(frozenset(self._states))

    def _rebuild_index(self) -> None:
        pools = collections.defaultdict(list)
        services = collections.defaultdict(list)
        for state in self._states.values():
            services[state.service].append(state.name)
            for model in (*state.models, ''):
                pools[state.service, model].append(state)
        self._pools = dict(pools)
        self._services = dict(services)

    def _reinstate_required(self) -> None:
        for name in self._states:
            if self.outliers.is_ejected(name) and not self._has_substitutes(
                name
            ):
                self.outliers.reinstate(name)

    def _list_service(self, name: str) -> Sequence[str]:
        state = self._states.get(name)
        return self._services.get(state.service, ()) if state else ()

    def _has_substitutes(self, name: str) -> bool:
        """Return whether other targets run everything that a target runs."""
        state = self._states.get(name)
        if state is None:
            return False
        return all(
            any(other.name != name for other in self.find_candidates(need))
            for need in _list_needs(state)
        )


def _list_needs(state: TargetState) -> list[RequestNeed]:
    """Return one need for each model and adapter that a target holds."""
    needs = [RequestNeed(state.service, model) for model in state.models]
    for adapter in state.adapters:
        model, _, name = adapter.partition('/')
        needs.append(RequestNeed(state.service, model, name))
    return needs or [RequestNeed(state.service)]
