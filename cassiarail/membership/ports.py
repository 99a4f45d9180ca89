"""Define interfaces that other parts of the controller implement."""

import abc
from typing import NamedTuple

from cassiarail.membership.protos import peers_pb2 as pb


class ConfigurationPort(abc.ABC):
    """Hold the current configuration and exchange it with peers."""

    @property
    @abc.abstractmethod
    def generation(self) -> int:
        """Return the current generation, 0 for none."""

    @abc.abstractmethod
    def get_bundle(self, generation: int) -> pb.ConfigurationBundle:
        """Return the bundle that a peer at a lower generation needs."""

    @abc.abstractmethod
    def offer(self, bundle: pb.ConfigurationBundle) -> bool:
        """Apply a newer configuration; return whether it is now current.

        Returns false if it isn't newer or a patch has another base.
        """


class LoadObservation(NamedTuple):
    """Hold the response of a target to one poll."""

    instance: str
    sequence: int
    leaving: bool
    running: int
    queued: int
    batch_max: int
    kv_used_bytes: int
    kv_total_bytes: int


class LoadSource(abc.ABC):
    """List and poll the targets of the data centre."""

    @abc.abstractmethod
    def list_targets(self) -> list[str]:
        """Return the names of the targets to poll."""

    @abc.abstractmethod
    async def poll(self, target: str) -> LoadObservation:
        """Return the report of a target; raise ``TargetError`` on failure."""
