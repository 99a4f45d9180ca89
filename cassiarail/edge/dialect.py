"""Define the interface to the wire formats of a platform."""

import abc
from typing import Any, NamedTuple

from cassiarail.core.exceptions import RequestError
from cassiarail.edge.registry.configuration import Configuration
from cassiarail.edge.registry.targets import Holdings, ModelVariant, Target
from cassiarail.http1.messages import RequestHead, ResponseHead


class UnreadableDocumentError(RequestError):
    """Report an entry or a configuration that can't be decoded."""

    error_id = 'CR3301'
    code = 'unreadable_document'


class CallerRequest(NamedTuple):
    """Hold the decoded head of a caller's request.

    ``client_timeout_s`` is how long the client waits. ``variant`` is ``None``
    for plain services. ``output_tokens`` is the maximum output length, and
    ``length_hint`` the caller's estimate of the output, in tokens. ``key`` is
    the caller's API key; it is never logged or passed on.
    """

    request_id: str
    host: str
    path: str
    client_timeout_s: float | None
    variant: ModelVariant | None
    prompt_tokens: int
    output_tokens: int
    prefix_parts: tuple[str, ...]
    length_hint: int | None = None
    part_tokens: tuple[int, ...] = ()
    key: str | None = None


class AttemptParameters(NamedTuple):
    """Hold what is sent to a target in addition to the caller's headers.

    ``resume_after`` is the id of the last event that the caller has.
    ``account`` is the name of the request's client account, if it has one.
    """

    instance: str
    time_left_s: float
    rank: int | None
    resume_after: str | None = None
    account: str | None = None


class ReportedLoad(NamedTuple):
    """Hold the request counts that a target reported.

    ``slowdown`` is how many times longer than usual work takes on the
    target's machine at the moment, or ``None`` if the target doesn't say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class ResponseFacts(NamedTuple):
    """Hold the decoded headers of a response.

    ``did_not_run`` shows that the target states that the request did not run.
    ``is_signed`` shows that the target itself created the response.
    ``is_leaving`` shows that it wants no new requests. ``pause_s`` is set if
    it wants none from this host for some seconds.
    """

    request_id: str | None
    did_not_run: bool
    is_signed: bool
    is_unencoded: bool
    load: ReportedLoad | None
    is_leaving: bool = False
    pause_s: float | None = None


class EngineActivity(NamedTuple):
    """Hold what an engine reports of its requests.

    ``running`` holds the ids of the requests that it runs; ``waiting`` counts
    those that it may run later.
    """

    born_ms: int
    running: frozenset[str]
    waiting: int


class Order(NamedTuple):
    """Order an engine to load or unload a model or an adapter.

    ``expected_count`` is the number of orders that the engine has accepted
    so far; the engine refuses the order if its own count differs.
    """

    is_load: bool
    variant: ModelVariant
    expected_count: int
    leader: str
    fence: int


class Dialect(abc.ABC):
    """Translate between wire formats and internal types."""

    @abc.abstractmethod
    def decode_request(self, head: RequestHead) -> CallerRequest:
        """Decode a request's head; raise ``RequestError`` if it is invalid."""

    @abc.abstractmethod
    def encode_attempt(
        self,
        head: RequestHead,
        attempt: AttemptParameters,
    ) -> RequestHead:
        """Return the request head to send to a target."""

    @abc.abstractmethod
    def decode_response(self, head: ResponseHead) -> ResponseFacts:
        """Decode the head of a target's response."""

    @abc.abstractmethod
    def decode_target(self, instance: str, document: Any) -> Target:
        """Decode an entry; raise ``UnreadableDocumentError`` if invalid."""

    @abc.abstractmethod
    def decode_configuration(self, document: Any) -> Configuration:
        """Decode a configuration.

        Raises ``UnreadableDocumentError`` if it is invalid.
        """

    @abc.abstractmethod
    def hide_keys(self, document: Any) -> Any:
        """Return a configuration that contains no keys of callers.

        It decodes to the same configuration.
        """

    @abc.abstractmethod
    def encode_order(
        self,
        order: Order,
        instance: str,
    ) -> tuple[RequestHead, bytes]:
        """Return the request that sends an order to an engine."""

    @abc.abstractmethod
    def encode_report_request(self, instance: str = '') -> RequestHead:
        """Return the request for an engine's report.

        If ``instance`` is set, another engine at the address refuses it.
        """

    @abc.abstractmethod
    def decode_report(self, body: bytes) -> tuple[int, Holdings, bool]:
        """Decode a report: start time, holdings and whether it is busy."""

    @abc.abstractmethod
    def decode_activity(self, body: bytes) -> EngineActivity:
        """Decode the requests that a report lists.

        Raises ``UnreadableDocumentError`` if it is invalid or lists none.
        """
