"""Define how a request is refused that has not run."""

import http

from cassiarail.http1.refusals import RefusedRequestError


class Refusal(RefusedRequestError):
    """Report that a request is refused and no target has run it."""


def build_stop_refusal() -> Refusal:
    """Return the refusal of a host that is stopping."""
    return Refusal(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'this host is stopping',
        0,
    )
