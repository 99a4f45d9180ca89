"""Create a span for each hop and propagate its context."""

import contextlib
from collections.abc import Iterator, Mapping

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.trace.propagation import tracecontext

TraceContext = Context
_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class HopTracer:
    """Start spans whose parents are passed explicitly.

    Contexts are passed as arguments instead of context variables, because one
    request uses several tasks.
    """

    def __init__(self, tracer: trace.Tracer) -> None:
        self._tracer = tracer

    @contextlib.contextmanager
    def span(
        self,
        name: str,
        parent: TraceContext,
        **attributes: str,
    ) -> Iterator[TraceContext]:
        """Run a block in a span; yield the context for the next hop."""
        span = self._tracer.start_span(
            name,
            context=parent,
            attributes=attributes,
        )
        try:
            yield trace.set_span_in_context(span, parent)
        except Exception as error:
            span.record_exception(error)
            span.set_status(trace.Status(trace.StatusCode.ERROR))
            raise
        finally:
            span.end()


def read_parent(headers: Mapping[str, str]) -> TraceContext:
    """Extract the trace context from the headers of a request."""
    return _PROPAGATOR.extract(headers, context=TraceContext())


def write_headers(context: TraceContext) -> dict[str, str]:
    """Return the headers that propagate a trace context."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, context=context)
    return carrier
