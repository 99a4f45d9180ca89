"""Define the interface of routing policies."""

import abc
from collections.abc import Sequence
from typing import NamedTuple

from cassiarail.routing.snapshot import TargetState


class RequestNeed(NamedTuple):
    """Describe what a request needs of a target.

    ``prefix`` names the start of the prompt that requests share; an empty one
    asks for no affinity. ``excluded`` are targets that must not be tried.
    """

    service: str
    model: str = ''
    adapter: str = ''
    prefix: str = ''
    excluded: frozenset[str] = frozenset()


class LoadView(abc.ABC):
    """Tell policies how loaded the targets are."""

    @abc.abstractmethod
    def count_in_flight(self, name: str) -> int:
        """Return the requests that this gateway has in flight at a target."""

    @abc.abstractmethod
    def estimate_load(self, name: str) -> float:
        """Return the estimated requests at a target from all gateways.

        The load of a new target is raised while it starts slowly.
        """

    @abc.abstractmethod
    def reported_load(self, name: str) -> float:
        """Return the load that a target last reported, uncorrected."""


class RoutingPolicy(abc.ABC):
    """Choose one of the targets that may run a request."""

    name: str

    def list_preferred(
        self,
        need: RequestNeed,
        candidates: Sequence[TargetState],
    ) -> list[str]:
        """Return the names of the targets that a request prefers, if any."""
        return []

    @abc.abstractmethod
    def choose(
        self,
        need: RequestNeed,
        candidates: Sequence[TargetState],
        loads: LoadView,
    ) -> TargetState:
        """Return one of the candidates, of which there is at least one."""
