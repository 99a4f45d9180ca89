"""Write the log lines of a request."""

import asyncio

from cassiarail.core.events import emit_event
from cassiarail.edge.events import (
    ATTEMPT_FAILED,
    REQUEST_ENDED,
    STREAM_RESUMED,
)
from cassiarail.edge.registry.targets import Target
from cassiarail.edge.requests.jobs import AttemptResult, Job

_DIGITS = 3


def log_end(
    job: Job, ending: str, seconds: float, stop_left_s: float | None
) -> None:
    """Log how a request ended.

    ``stop_left_s`` is the time that a stop would have left it, or ``None``.
    """
    variant = job.request.variant
    emit_event(
        REQUEST_ENDED,
        request=job.request.request_id,
        ended=ending,
        verdict=job.verdict.value,
        status=job.exchange.status,
        route=job.route.name,
        service=job.service.name,
        want=f'{variant.model}/{variant.adapter}' if variant else '',
        configuration=job.configuration_version,
        targets=[target.instance for target in job.tried_targets],
        parts=job.request.prefix_parts,
        seconds=round(seconds, _DIGITS),
        **job.timeline.describe(job.route.objective_s),
        **_describe_progress(job, ending, stop_left_s),
    )


def log_failed_attempt(
    job: Job, target: Target, attempt_result: AttemptResult
) -> None:
    """Log why an attempt failed and what is known of it."""
    evidence = attempt_result.evidence
    emit_event(
        ATTEMPT_FAILED,
        request=job.request.request_id,
        target=target.instance,
        address=str(target.address),
        outcome=attempt_result.outcome.value,
        reason=attempt_result.reason,
        directory=target.holdings.order_count,
        parts=job.request.prefix_parts,
        began=job.response_started,
        **({} if evidence is None else evidence._asdict()),
    )


def log_resumption(job: Job, target: Target) -> None:
    """Log that a stream goes on at another target."""
    emit_event(
        STREAM_RESUMED,
        request=job.request.request_id,
        target=target.instance,
        previous=job.tried_targets[-1].instance,
        after=job.splitter.last_id if job.splitter else None,
    )


def _describe_progress(
    job: Job, ending: str, stop_left_s: float | None
) -> dict[str, object]:
    """Return what the request waited for when it ended, unless answered."""
    progress: dict[str, object] = {}
    if stop_left_s is not None:
        progress['stop_left_s'] = round(stop_left_s, _DIGITS)
    if ending == 'answered':
        return progress
    progress['waited_for'] = job.timeline.waits_for.value
    if job.newest.sent_at:
        now = asyncio.get_running_loop().time()
        progress['silent_s'] = round(now - job.newest.active_at, _DIGITS)
    return progress
