"""Describe what the verdict on an attempt was decided on."""

from typing import NamedTuple

from cassiarail.edge.dialect import ResponseFacts
from cassiarail.http1.connections import ClientConnection


class ReceivedHead(NamedTuple):
    """Hold the status and the decoded headers of an accepted response."""

    status: int
    facts: ResponseFacts


class AttemptEvidence(NamedTuple):
    """Hold what is known of an exchange with a target.

    ``status`` is 0 and ``response_id`` ``None`` if no head was accepted.
    ``is_stated_not_run`` shows that the head states that nothing ran.
    ``connection_request`` numbers the requests of the connection from 1;
    ``unsent_bytes`` of this one had not left the process. A target that has
    not closed the connection itself (``is_closed_by_target``) may go on.
    """

    status: int
    response_id: str | None
    is_stated_not_run: bool
    connection_request: int
    unsent_bytes: int
    is_closed_by_target: bool


def collect_evidence(
    connection: ClientConnection, head: ReceivedHead | None
) -> AttemptEvidence:
    """Return what is known of the newest exchange on a connection."""
    return AttemptEvidence(
        status=head.status if head else 0,
        response_id=head.facts.request_id if head else None,
        is_stated_not_run=head is not None and head.facts.did_not_run,
        connection_request=connection.sent_requests,
        unsent_bytes=connection.unsent_bytes,
        is_closed_by_target=connection.is_closed_by_peer,
    )
