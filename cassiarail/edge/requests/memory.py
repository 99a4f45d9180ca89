"""Limit what a process keeps of what callers and targets send."""

from typing import NamedTuple

from cassiarail.conf.edge import EdgeSettings
from cassiarail.conf.global_defaults import (
    CLIENT_MEMORY_BYTES,
    RESPONSE_MEMORY_BYTES,
)
from cassiarail.edge.metrics import EdgeMetrics
from cassiarail.http1.client_memory import build_client_memory
from cassiarail.limits.byte_budget import ByteBudget


class RequestMemory(NamedTuple):
    """Hold the budgets of bodies and unread responses, and of responses.

    They are separate, so that callers and targets don't take each other's.
    """

    clients: ByteBudget
    responses: ByteBudget

    def refresh(self, metrics: EdgeMetrics) -> None:
        """Update the metrics."""
        metrics.client_bytes.set(self.clients.used_bytes)
        metrics.revoked_requests.set(self.clients.revoked)
        metrics.response_bytes.set(self.responses.used_bytes)
        metrics.revoked_responses.set(self.responses.revoked)


def build_request_memory(settings: EdgeSettings) -> RequestMemory:
    """Return the budgets of a process."""
    return RequestMemory(
        build_client_memory(
            settings.get('client_memory_bytes', CLIENT_MEMORY_BYTES)
        ),
        ByteBudget(
            settings.get('response_memory_bytes', RESPONSE_MEMORY_BYTES)
        ),
    )
