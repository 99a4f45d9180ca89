"""Watch promises that the audit of requests can't see."""

from cassiarail.core.clock import Clock
from cassiarail.standins.faults import FaultName
from cassiarail.testbed.deployment import Deployment

_INTERVAL_S = 0.05
# A node that has just started may still be fetching the configuration.
_STARTING_S = 3.0


class Monitor:
    """Sample generations and charged memory."""

    def __init__(self, deployment: Deployment, clock: Clock) -> None:
        self._deployment = deployment
        self._clock = clock
        self._highest: dict[str, int] = {}
        self._behind_s = float(0)
        self._generation = 0
        self.config_reverts = 0
        self.config_seconds_max = float(0)
        self.overpromised_bytes_max = 0

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self._sample()
            await self._clock.sleep(_INTERVAL_S)

    def _sample(self) -> None:
        self._check_reverts()
        self._check_force()
        self._check_promises()

    def _check_reverts(self) -> None:
        """Count nodes that serve an older generation than they did before."""
        for node in self._deployment.nodes:
            if not node.is_ready():
                continue
            highest = self._highest.get(node.name, 0)
            if node.generation < highest:
                self.config_reverts += 1
            self._highest[node.name] = max(highest, node.generation)

    def _check_force(self) -> None:
        """Add up the time for which some live node lacks the generation.

        Time in which the store is out doesn't count: nothing is accepted
        then, and only a watcher that has seen the change can spread it.
        """
        wanted = self._deployment.generation
        if wanted != self._generation:
            self._generation = wanted
            self._behind_s = 0
        now = self._clock.monotonic()
        behind = any(
            node.generation < wanted
            for node in self._deployment.nodes
            if node.is_ready() and now - node.started_at > _STARTING_S
        )
        faults = self._deployment.standins.faults
        if behind and not faults.is_on(FaultName.STORE_OUTAGE):
            self._behind_s += _INTERVAL_S
            self.config_seconds_max = max(
                self.config_seconds_max,
                self._behind_s,
            )

    def _check_promises(self) -> None:
        for controller in self._deployment.controllers:
            status = controller.read_status()
            for target in status['targets'] if status else ():
                excess = target['charged_bytes'] - self._capacity(
                    target['name'],
                )
                self.overpromised_bytes_max = max(
                    self.overpromised_bytes_max,
                    excess,
                )

    def _capacity(self, name: str) -> int:
        engines = self._deployment.standins.engines
        return engines[name].settings.memory_bytes
