"""Monitor guarantees that the audit of requests can't check."""

from cassiarail.core.clock import Clock
from cassiarail.standins.faults import FaultName
from cassiarail.testbed.deployment import Deployment

_SAMPLE_INTERVAL_S = 0.05
# A node that has just started may still be reading the configuration.
_START_GRACE_S = 3.0


class Monitor:
    """Sample configuration generations and charged memory."""

    def __init__(self, deployment: Deployment, clock: Clock) -> None:
        self._deployment = deployment
        self._clock = clock
        self._highest_generations: dict[str, int] = {}
        self._behind_s = float(0)
        self._generation = 0
        self.config_reverts = 0
        self.config_seconds_max = float(0)
        self.overpromised_bytes_max = 0

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self._sample()
            await self._clock.sleep(_SAMPLE_INTERVAL_S)

    def _sample(self) -> None:
        self._check_reverts()
        self._check_rollout()
        self._check_reservations()

    def _check_reverts(self) -> None:
        """Count nodes that returned to an older generation."""
        for node in self._deployment.nodes:
            if not node.is_ready():
                continue
            highest = self._highest_generations.get(node.name, 0)
            if node.generation < highest:
                self.config_reverts += 1
            self._highest_generations[node.name] = max(highest, node.generation)

    def _check_rollout(self) -> None:
        """Add up the time during which a live node lacks the generation.

        A store outage doesn't count: nothing is accepted then, and only a
        watcher that has read the change can distribute it.
        """
        expected = self._deployment.generation
        if expected != self._generation:
            self._generation = expected
            self._behind_s = 0
        now = self._clock.monotonic()
        is_behind = any(
            node.generation < expected
            for node in self._deployment.nodes
            if node.is_ready() and now - node.started_at > _START_GRACE_S
        )
        faults = self._deployment.standins.faults
        if is_behind and not faults.is_on(FaultName.STORE_OUTAGE):
            self._behind_s += _SAMPLE_INTERVAL_S
            self.config_seconds_max = max(
                self.config_seconds_max,
                self._behind_s,
            )

    def _check_reservations(self) -> None:
        for controller in self._deployment.controllers:
            status = controller.read_status()
            for target in status['targets'] if status else ():
                excess = target['charged_bytes'] - self._get_capacity(
                    target['name'],
                )
                self.overpromised_bytes_max = max(
                    self.overpromised_bytes_max,
                    excess,
                )

    def _get_capacity(self, name: str) -> int:
        engines = self._deployment.standins.engines
        return engines[name].settings.memory_bytes
