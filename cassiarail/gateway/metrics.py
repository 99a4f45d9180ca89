"""Define the metrics of the request path."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_LATENCY_BUCKETS = (
    *(0.005, 0.01, 0.02, 0.05, 0.1, 0.2),
    *(0.48, 1, 2, 5, 10, 30, 60),
)


class GatewayMetrics:
    """Register the metrics of one gateway with its process."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.requests = Counter(
            'cassiarail_gateway_requests',
            'Finished requests by route, code and verdict.',
            ('route', 'code', 'verdict'),
            registry=registry,
        )
        self.in_progress = Gauge(
            'cassiarail_gateway_requests_in_progress',
            'Requests in progress.',
            registry=registry,
        )
        self.first_token = Histogram(
            'cassiarail_gateway_first_token_seconds',
            'Time from the arrival of a request to its first token.',
            registry=registry,
            buckets=_LATENCY_BUCKETS,
        )
        self.attempts = Counter(
            'cassiarail_gateway_attempts',
            'Attempts at targets by service and outcome.',
            ('service', 'outcome'),
            registry=registry,
        )
        self.resumes = Counter(
            'cassiarail_gateway_resumes',
            'Streams resumed, on the same or another target.',
            ('where',),
            registry=registry,
        )
        self.tokens = Counter(
            'cassiarail_gateway_relayed_tokens',
            'Token events relayed.',
            registry=registry,
        )
        self.bytes = Counter(
            'cassiarail_gateway_relayed_bytes',
            'Bytes of token events relayed.',
            registry=registry,
        )
        self.claims = Counter(
            'cassiarail_gateway_claims',
            'Claims of non-idempotent calls by outcome.',
            ('outcome',),
            registry=registry,
        )
