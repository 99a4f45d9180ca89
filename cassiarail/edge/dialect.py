"""Define how requests, answers and targets are spoken of on the wire."""

import abc
from typing import Any, NamedTuple

from cassiarail.core.exceptions import RequestError
from cassiarail.edge.configuration import Configuration
from cassiarail.edge.targets import Holdings, Target, Want
from cassiarail.http1.messages import AnswerHead, RequestHead


class UnreadableDocumentError(RequestError):
    """Report an entry or a configuration that can't be decoded."""

    error_id = 'CR3301'
    code = 'unreadable_document'


class CallerRequest(NamedTuple):
    """Hold what a caller's request says.

    ``client_timeout_s`` is how long the client waits; ``want`` is empty for
    plain services. ``tokens`` counts prompt and possible output.
    """

    request_id: str
    host: str
    path: str
    client_timeout_s: float | None
    variant: Want | None
    prompt_tokens: int
    output_tokens: int
    prefix_parts: tuple[str, ...]


class AttemptParameters(NamedTuple):
    """Hold what a target is told beside the caller's own headers.

    ``resume_after`` is the id of the last event that the caller has.
    """

    instance: str
    time_left_s: float
    rank: int | None
    resume_after: str | None = None


class ReportedLoad(NamedTuple):
    """Hold the requests at a target as it reported them."""

    running: int
    waiting: int
    slots: int


class ResponseFacts(NamedTuple):
    """Hold what the head of an answer says beside its status.

    ``did_not_run`` is the target's promise. ``is_signed`` tells that the
    target itself made the answer.
    """

    request_id: str | None
    did_not_run: bool
    is_signed: bool
    is_unencoded: bool
    load: ReportedLoad | None


class Order(NamedTuple):
    """Tell an engine to load or unload a model or an adapter.

    ``expected_count`` is the number of orders that the engine has accepted
    before; an engine at another number refuses.
    """

    is_load: bool
    variant: Want
    expected_count: int
    leader: str
    fence: int


class Dialect(abc.ABC):
    """Translate between the wire and the product's types."""

    @abc.abstractmethod
    def decode_request(self, head: RequestHead) -> CallerRequest:
        """Read a request's head; raise ``RequestError`` if it is unusable."""

    @abc.abstractmethod
    def encode_attempt(
        self,
        head: RequestHead,
        attempt: AttemptParameters,
    ) -> RequestHead:
        """Return the head for a target."""

    @abc.abstractmethod
    def decode_response(self, head: AnswerHead) -> ResponseFacts:
        """Read the head of a target's answer."""

    @abc.abstractmethod
    def decode_target(self, instance: str, document: Any) -> Target:
        """Read an entry; raise ``UnreadableDocumentError`` if it is broken."""

    @abc.abstractmethod
    def decode_configuration(self, document: Any) -> Configuration:
        """Read a configuration; raise ``UnreadableDocumentError``."""

    @abc.abstractmethod
    def encode_order(
        self, order: Order, instance: str
    ) -> tuple[
        RequestHead,
        bytes,
    ]:
        """Return the request that gives an order to an engine."""

    @abc.abstractmethod
    def encode_report_request(self) -> RequestHead:
        """Return the request for an engine's own report."""

    @abc.abstractmethod
    def decode_report(self, body: bytes) -> tuple[int, Holdings, bool]:
        """Read a report: the start, what is held, and whether it is busy."""
