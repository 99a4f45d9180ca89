"""Check whether the weight store has the weights of a model.

Engines fetch weights themselves. Each request counts towards the store's rate
limit, so this is meant for operators' checks, not for polling.
"""

from typing import NamedTuple

import httpx

from cassiarail.inventory.exceptions import (
    PlatformError,
    WeightsMissingError,
    WeightStoreBusyError,
)

_TIMEOUT_S = 5.0
_RETRY_AFTER_S = 1.0


class Weights(NamedTuple):
    """Describe stored weights; ``bytes`` is 0 if the size is unknown."""

    model: str
    version: str
    bytes: int


class WeightStoreClient:
    """Read metadata of the weight store over HTTP."""

    def __init__(
        self,
        base_url: str,
        transport: httpx.AsyncBaseTransport,
    ) -> None:
        """Create the client; tests can pass a transport without sockets."""
        self._client = httpx.AsyncClient(
            base_url=base_url,
            transport=transport,
            timeout=_TIMEOUT_S,
        )

    async def describe(self, model: str, version: str) -> Weights:
        """Return the size of weights without fetching them.

        Raises ``WeightsMissingError``, ``WeightStoreBusyError`` with a retry
        time, or ``PlatformError``.
        """
        try:
            return await self._read_headers(model, version)
        except httpx.HTTPError as error:
            raise PlatformError(f'weight store: {error!r}') from error

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _read_headers(self, model: str, version: str) -> Weights:
        path = f'/weights/{model}/{version}'
        # The body can have tens of gigabytes; leaving the block discards it.
        async with self._client.stream('GET', path) as response:
            _require_success(response, f'{model}/{version}')
            size = response.headers.get('content-length', '0')
        return Weights(model, version, int(size))


def _require_success(response: httpx.Response, name: str) -> None:
    status = response.status_code
    if status == httpx.codes.NOT_FOUND:
        raise WeightsMissingError(f'the weight store has no {name}')
    if status == httpx.codes.TOO_MANY_REQUESTS:
        raise WeightStoreBusyError(
            'the weight store is at its rate limit',
            retry_after_s=_read_retry_after(response),
        )
    if status != httpx.codes.OK:
        raise PlatformError(f'weight store: status {status}')


def _read_retry_after(response: httpx.Response) -> float:
    try:
        return float(response.headers.get('retry-after', _RETRY_AFTER_S))
    except ValueError:
        return _RETRY_AFTER_S
