"""Collect spans and export them to a file or over OTLP/HTTP."""

import collections
import pathlib
from collections.abc import Sequence

import anyio
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Tracer

from cassiarail.conf.schema import TelemetrySettings
from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component

_MAX_QUEUED_SPANS = 4096
_EXPORT_INTERVAL_S = 1.0
_MAX_BATCH_SPANS = 512


class FileSpanExporter(SpanExporter):
    """Append spans to a file as JSON lines."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans; return ``FAILURE`` on an I/O error."""
        lines = [f'{span.to_json(indent=None)}\n' for span in spans]
        try:
            with self._path.open('a') as output:
                output.writelines(lines)
        except OSError:
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS


class QueueingSpanProcessor(SpanProcessor):
    """Queue ended spans for export; drop the oldest when the queue is full.

    The SDK's own batch processor runs a thread for each provider; this one
    leaves the export to a component on the event loop.
    """

    def __init__(self) -> None:
        self.queue: collections.deque[ReadableSpan] = collections.deque(
            maxlen=_MAX_QUEUED_SPANS,
        )

    def on_end(self, span: ReadableSpan) -> None:
        """Queue a span."""
        self.queue.append(span)

    def pop_batch(self) -> list[ReadableSpan]:
        """Remove and return the oldest spans, at most one batch."""
        size = min(len(self.queue), _MAX_BATCH_SPANS)
        return [self.queue.popleft() for _ in range(size)]


class Tracing(Component):
    """Provide the tracer of an application and export its spans."""

    name = 'tracing'

    def __init__(
        self,
        application: str,
        settings: TelemetrySettings,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._processor = QueueingSpanProcessor()
        self._exporters = _create_exporters(settings)
        sampler = ParentBased(
            TraceIdRatioBased(settings.get('trace_sample_share', 0)),
        )
        self._provider = TracerProvider(
            sampler=sampler,
            resource=Resource.create({'service.name': application}),
            shutdown_on_exit=False,
        )
        self._provider.add_span_processor(self._processor)

    @property
    def tracer(self) -> Tracer:
        """Return the tracer for the application's spans."""
        return self._provider.get_tracer('cassiarail')

    async def run(self) -> None:
        """Export queued spans each second."""
        while True:
            await self._clock.sleep(_EXPORT_INTERVAL_S)
            await self.flush()

    async def stop(self) -> None:
        """Export the remaining spans."""
        await self.flush()

    async def flush(self) -> None:
        """Export all queued spans."""
        while self._processor.queue:
            batch = self._processor.pop_batch()
            for exporter in self._exporters:
                # Exporters block, so they run in a worker thread.
                await anyio.to_thread.run_sync(exporter.export, batch)


def _create_exporters(settings: TelemetrySettings) -> list[SpanExporter]:
    exporters: list[SpanExporter] = []
    if settings.get('trace_file'):
        path = pathlib.Path(settings['trace_file'])
        exporters.append(FileSpanExporter(path))
    if settings.get('trace_otlp_endpoint'):
        endpoint = settings['trace_otlp_endpoint']
        exporters.append(OTLPSpanExporter(endpoint=endpoint))
    return exporters
