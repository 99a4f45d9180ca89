"""Create metric registries and render them."""

from prometheus_client import (
    CollectorRegistry,
    GCCollector,
    PlatformCollector,
    ProcessCollector,
    generate_latest,
)

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


def create_registry(*, with_process: bool = True) -> CollectorRegistry:
    """Return a registry of one application.

    ``with_process`` adds the metrics of the process; it is off where several
    applications share one process.
    """
    registry = CollectorRegistry()
    if with_process:
        ProcessCollector(registry=registry)
        PlatformCollector(registry=registry)
        GCCollector(registry=registry)
    return registry


def render_metrics(registry: CollectorRegistry) -> bytes:
    """Return all metrics of a registry in the Prometheus text format."""
    return generate_latest(registry)
