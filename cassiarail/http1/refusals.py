"""Define how requests are refused that have not run."""

from collections.abc import Callable

from cassiarail.http1.messages import Headers


class RefusedRequestError(Exception):
    """Report that a request is refused and has not run.

    ``retry_after_s`` is the time after which its client may come back.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s

    def list_headers(self) -> Headers:
        """Return the headers that tell the client when to come back."""
        if self.retry_after_s is None:
            return []
        return [(b'retry-after', b'%.2f' % self.retry_after_s)]


# Returns the headers and the body of the response to a refused request.
RefusalRenderer = Callable[[RefusedRequestError], tuple[Headers, bytes]]


def render_plain_refusal(error: RefusedRequestError) -> tuple[Headers, bytes]:
    """Return the reason as text."""
    return error.list_headers(), error.reason.encode()
