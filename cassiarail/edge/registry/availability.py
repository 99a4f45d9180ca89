"""Track what targets say of themselves in their responses."""

from collections.abc import Callable

from cassiarail.core.events import emit_event
from cassiarail.edge.dialect import ResponseFacts
from cassiarail.edge.events import TARGET_LEAVING, TARGET_PAUSED
from cassiarail.edge.registry.targets import Target, TargetDirectory
from cassiarail.routing.holds import TargetHolds


class TargetAvailability:
    """Decide whether a target may be sent requests."""

    def __init__(
        self,
        directory: TargetDirectory,
        holds: TargetHolds,
        on_leaving: Callable[[], None],
    ) -> None:
        """Call ``on_leaving`` if a response shows that a target leaves."""
        self.holds = holds
        self._directory = directory
        self._on_leaving = on_leaving

    def may_send(self, target: Target) -> bool:
        """Return whether a target accepts requests from this host now."""
        if self.holds.is_held(target.identity):
            return False
        return self._directory.accepts_requests(target)

    def record_response(self, target: Target, facts: ResponseFacts) -> None:
        """Record that a target leaves, or that it wants a pause."""
        if facts.is_leaving and self._directory.mark_leaving(target.identity):
            emit_event(
                TARGET_LEAVING,
                target=target.instance,
                reason='its response says so',
                source='response',
            )
            self._on_leaving()
        if facts.pause_s is not None:
            emit_event(
                TARGET_PAUSED,
                target=target.instance,
                asked_s=facts.pause_s,
                pause_s=self.holds.hold(target.identity, facts.pause_s),
            )
