"""Eject targets that fail repeatedly."""

import collections
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock

_MAX_DOUBLINGS = 5


class OutlierRules(NamedTuple):
    """Define when targets are ejected and for how long.

    ``max_ejected_share`` bounds the ejected targets of a service.
    """

    consecutive_failures: int = 5
    ejection_s: float = 10.0
    max_ejected_share: float = 0.34


class OutlierDetector:
    """Eject targets after consecutive failures, for a growing time.

    ``list_service`` returns the names of the targets of the service that a
    target belongs to; ``has_substitutes`` returns whether every model of a
    target stays available without it.
    """

    def __init__(
        self,
        clock: Clock,
        list_service: Callable[[str], Iterable[str]],
        has_substitutes: Callable[[str], bool],
        rules: OutlierRules | None = None,
    ) -> None:
        self._clock = clock
        self._list_service = list_service
        self._has_substitutes = has_substitutes
        self._rules = rules or OutlierRules()
        self._failures: collections.Counter[str] = collections.Counter()
        self._ejections: collections.Counter[str] = collections.Counter()
        self._ejected_until: dict[str, float] = {}

    def record_success(self, name: str) -> None:
        """Count a response; it resets the consecutive failures."""
        self._failures.pop(name, None)
        if not self.is_ejected(name):
            self._ejections.pop(name, None)

    def record_failure(self, name: str) -> bool:
        """Count a failure and return whether the target is now ejected."""
        self._failures[name] += 1
        if self._failures[name] < self._rules.consecutive_failures:
            return self.is_ejected(name)
        if not self.is_ejected(name) and self._may_eject(name):
            self._eject(name)
        return self.is_ejected(name)

    def is_ejected(self, name: str) -> bool:
        """Return whether a target is currently ejected."""
        until = self._ejected_until.get(name)
        if until is None:
            return False
        if self._clock.monotonic() < until:
            return True
        self._ejected_until.pop(name)
        return False

    def reinstate(self, name: str) -> None:
        """End the ejection of a target."""
        self._ejected_until.pop(name, None)
        self._failures.pop(name, None)

    def retain(self, names: frozenset[str]) -> None:
        """Remove all targets but the named ones."""
        known = {*self._failures, *self._ejections, *self._ejected_until}
        for name in known - names:
            self._failures.pop(name, None)
            self._ejections.pop(name, None)
            self._ejected_until.pop(name, None)

    def _may_eject(self, name: str) -> bool:
        members = list(self._list_service(name))
        ejected = sum(self.is_ejected(member) for member in members)
        allowed = int(len(members) * self._rules.max_ejected_share)
        return ejected < allowed and self._has_substitutes(name)

    def _eject(self, name: str) -> None:
        doublings = min(_MAX_DOUBLINGS, self._ejections[name])
        self._ejections[name] += 1
        self._ejected_until[name] = (
            self._clock.monotonic() + self._rules.ejection_s * 2**doublings
        )
        self._failures.pop(name, None)
