"""Decide how a request ends that gets no response of a target.

What a caller may still get depends on what the request has had: nothing once
its response is complete, the end of its connection once the head was sent, a
target's failure, a refusal if no target has run it, and otherwise an error
that promises nothing.
"""

import http

from cassiarail.core.verdict import Verdict
from cassiarail.edge.requests.jobs import BufferedResponse, Job
from cassiarail.edge.requests.refusals import Refusal
from cassiarail.http1.exchanges import Exchange, ResponseProgress
from cassiarail.http1.messages import Headers

_MAY_HAVE_RUN = 'the request may have run'


def end_request(
    job: Job,
    cause: Refusal,
    status_after_run: int = http.HTTPStatus.BAD_GATEWAY,
) -> str:
    """End a request with what is true of it; return how it ended.

    ``cause`` is the refusal of a request that has not run, and
    ``status_after_run`` the status of one that may have run.
    """
    exchange = job.exchange
    if exchange.progress is ResponseProgress.ENDED:
        return 'answered'
    if exchange.progress is ResponseProgress.BEGUN:
        exchange.abort()
        return 'stream broken off'
    failure = _find_failure(job)
    if failure is not None:
        exchange.respond(*failure)
        return 'failure of the target'
    if job.verdict is Verdict.NOT_RUN:
        refuse(exchange, cause)
        return f'refused: {cause.reason}'
    _respond(exchange, status_after_run, _MAY_HAVE_RUN, [])
    return 'outcome unknown'


def refuse(exchange: Exchange, refusal: Refusal) -> None:
    """Refuse a request that no target has run."""
    _respond(exchange, refusal.status, refusal.reason, refusal.list_headers())


def _find_failure(job: Job) -> BufferedResponse | None:
    failures = [each.response for each in job.attempts if each.response]
    return failures[-1] if failures else None


def _respond(
    exchange: Exchange,
    status: int,
    reason: str,
    headers: Headers,
) -> None:
    exchange.respond(
        status,
        [(b'content-type', b'text/plain'), *headers],
        reason.encode(),
    )
