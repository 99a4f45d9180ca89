"""Learn how fast the targets of a service work on a usual machine.

All times are divided by the slowdown of the machine on which they were taken.
"""

# Weight of one more request in the means.
_WEIGHT = 0.02
# Assumed until requests have ended: of the right size, so that the first
# choices weigh waiting against reading at all.
_FIRST_SERVICE_S = 1.0
_FIRST_STEP_S = 0.03
_FIRST_READ_S = 0.00005
_FIRST_REQUEST_TOKENS = 800.0
# A time this many times the expected one has a cause that isn't the reading.
_OUTLIER = 4
# Squared tokens; the weight of the assumption in the line of reading.
_PRIOR_VARIANCE = 10_000.0


class ServiceSpeeds:
    """Hold the mean times and sizes of a service's requests.

    ``service_s`` is how long a request takes a place, ``request_tokens`` the
    tokens for which it needs memory, and ``others`` the usual number of
    requests of other hosts at a target.
    """

    def __init__(self) -> None:
        self.service_s = _FIRST_SERVICE_S
        self.request_tokens = _FIRST_REQUEST_TOKENS
        self.others = float(0)
        self._mean_s = _FIRST_STEP_S
        self._mean_tokens = float(0)
        self._variance = _PRIOR_VARIANCE
        self._covariance = _PRIOR_VARIANCE * _FIRST_READ_S

    def estimate_reading(self, tokens: int) -> float:
        """Return the time to the first token of a request that runs at once.

        ``tokens`` are those that the target must read.
        """
        slope = max(0, self._covariance / self._variance)
        return max(0, self._mean_s + slope * (tokens - self._mean_tokens))

    def record_reading(self, tokens: int, seconds: float) -> None:
        """Record the time to the first token of a request without a queue."""
        bounded = min(seconds, _OUTLIER * self.estimate_reading(tokens))
        difference = tokens - self._mean_tokens
        self._mean_tokens += _WEIGHT * difference
        self._mean_s += _WEIGHT * (bounded - self._mean_s)
        rest_s = bounded - self._mean_s
        self._covariance += _WEIGHT * (difference * rest_s - self._covariance)
        self._variance += _WEIGHT * (difference**2 - self._variance)
        self._variance = max(1, self._variance)

    def record_service(self, seconds: float) -> None:
        """Record how long a request has taken a place."""
        self.service_s += _WEIGHT * (seconds - self.service_s)

    def record_request(self, tokens: int) -> None:
        """Record the tokens for which a request needs memory."""
        self.request_tokens += _WEIGHT * (tokens - self.request_tokens)

    def record_others(self, others: float) -> None:
        """Record how many requests of other hosts a target has."""
        self.others += _WEIGHT * (others - self.others)
