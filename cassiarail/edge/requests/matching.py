"""Decide whether a response belongs to the request in progress."""

import http

from cassiarail.core.events import emit_event
from cassiarail.edge.dialect import Dialect, ResponseFacts
from cassiarail.edge.events import RESPONSE_SKIPPED
from cassiarail.http1.connections import ClientConnection
from cassiarail.http1.messages import ResponseHead

SUCCESS_STATUSES = range(http.HTTPStatus.OK, http.HTTPStatus.MULTIPLE_CHOICES)


class ResponseMatcher:
    """Accept the response to the newest request of a connection.

    ``facts`` are those of the newest head that was passed.
    """

    facts: ResponseFacts

    def __init__(
        self, dialect: Dialect, request_id: str, connection: ClientConnection
    ) -> None:
        self._dialect = dialect
        self._request_id = request_id
        self._connection = connection

    def __call__(self, head: ResponseHead) -> bool:
        """Return whether a response doesn't belong to an earlier request.

        A failure without an id can only belong to the first request of a
        connection; later, it may be a copy of an earlier refusal.
        """
        self.facts = self._dialect.decode_response(head)
        response_id = self.facts.request_id
        if response_id == self._request_id:
            return True
        is_first = self._connection.sent_requests == 1
        is_failure = head.status not in SUCCESS_STATUSES
        if response_id is None and is_first and is_failure:
            return True
        emit_event(
            RESPONSE_SKIPPED,
            request=self._request_id,
            status=head.status,
            response_id=response_id,
            connection_request=self._connection.sent_requests,
        )
        return False
