"""Define the metrics of the forwarding path."""

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_BUCKETS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20,
)  # fmt: skip


class EdgeMetrics:
    """Record request counts and latencies."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._requests = Counter(
            'cassiarail_requests_total',
            'Requests by kind of route and verdict.',
            ['kind', 'verdict'],
            registry=registry,
        )
        self._seconds = Histogram(
            'cassiarail_request_seconds',
            'Time from the head of a request to the end of its response.',
            ['kind'],
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._attempts = Counter(
            'cassiarail_attempts_total',
            'Attempts at targets by outcome.',
            ['outcome'],
            registry=registry,
        )
        self._unread = Counter(
            'cassiarail_unread_requests_total',
            'Requests that could not be read, by status.',
            ['status'],
            registry=registry,
        )
        self._quarantined = Counter(
            'cassiarail_quarantined_requests_total',
            'Requests refused because parts of their prompts crash targets.',
            registry=registry,
        )
        self.quarantines = Gauge(
            'cassiarail_quarantines',
            'Sets of parts of prompts whose requests are refused.',
            registry=registry,
        )
        self.response_bytes = Gauge(
            'cassiarail_response_bytes',
            'Bytes of responses that are kept until they are complete.',
            registry=registry,
        )
        self.revoked_responses = Gauge(
            'cassiarail_revoked_responses',
            'Responses that were ended because they used too much memory.',
            registry=registry,
        )
        self.client_bytes = Gauge(
            'cassiarail_client_bytes',
            'Bytes of bodies of requests, and of responses not yet read.',
            registry=registry,
        )
        self.revoked_requests = Gauge(
            'cassiarail_revoked_requests',
            'Requests and responses that callers held up for too long.',
            registry=registry,
        )
        self._client_limits = Gauge(
            'cassiarail_client_limits_reached',
            "Times at which callers' connections reached a limit.",
            ['listener', 'limit'],
            registry=registry,
        )
        self.dropped_lines = Gauge(
            'cassiarail_dropped_log_lines',
            'Log lines dropped because standard output was not read.',
            registry=registry,
        )

        self._estimate_errors = Histogram(
            'cassiarail_first_token_error_seconds',
            'How much later or earlier than expected first tokens came.',
            ['side'],
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self._prompt_tokens = Counter(
            'cassiarail_prompt_tokens_total',
            'Tokens of prompts, by whether the target was expected to hold'
            ' them already.',
            ['kept'],
            registry=registry,
        )

    def set_limit_counts(
        self, listener: str, counts: Mapping[str, int]
    ) -> None:
        """Set how often a listener's connections have reached each limit."""
        for name, count in counts.items():
            self._client_limits.labels(listener, name).set(count)

    def count_request(self, kind: str, verdict: str, seconds: float) -> None:
        """Count a request that has ended."""
        self._requests.labels(kind, verdict).inc()
        self._seconds.labels(kind).observe(seconds)

    def count_attempt(self, outcome: str) -> None:
        """Count an attempt that has ended."""
        self._attempts.labels(outcome).inc()

    def count_first_token(
        self, error_s: float, prompt_tokens: int, kept_tokens: int
    ) -> None:
        """Count a first token whose time was estimated."""
        side = 'late' if error_s > 0 else 'early'
        self._estimate_errors.labels(side).observe(abs(error_s))
        unread = max(0, prompt_tokens - kept_tokens)
        self._prompt_tokens.labels('no').inc(unread)
        self._prompt_tokens.labels('yes').inc(prompt_tokens - unread)

    def count_quarantined(self) -> None:
        """Count a request that is refused for parts of its prompt."""
        self._quarantined.inc()

    def count_unread(self, status: int) -> None:
        """Count a request that could not be read."""
        self._unread.labels(str(status)).inc()
