"""Poll the load reports of targets over HTTP."""

from collections.abc import Callable

import httpx
import msgspec
from typing_extensions import TypedDict

from cassiarail.core.exceptions import TargetError
from cassiarail.declarations.schema import DeclarationsDocument
from cassiarail.membership.ports import LoadObservation, LoadSource

DeclarationsSource = Callable[[], DeclarationsDocument | None]
_TIMEOUT_S = 0.8


class _LoadDocument(TypedDict):
    instance: str
    sequence: int
    leaving: bool
    running: int
    queued: int
    batch_max: int
    kv_used_bytes: int
    kv_total_bytes: int


class HttpLoadSource(LoadSource):
    """Poll the targets of all data centres.

    Targets of other data centres are polled too, because a leaving target
    must be known within 3 s even during an outage of the object API.
    """

    def __init__(
        self,
        declarations: DeclarationsSource,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._declarations = declarations
        self._client = httpx.AsyncClient(
            transport=transport,
            timeout=_TIMEOUT_S,
        )

    def list_targets(self) -> list[str]:
        """Return the names of the targets to poll."""
        return sorted(self._list_urls())

    async def poll(self, target: str) -> LoadObservation:
        """Return the report of a target; raise ``TargetError`` on failure."""
        try:
            response = await self._client.get(self._list_urls()[target])
        except (httpx.HTTPError, KeyError) as error:
            raise TargetError(f'{target}: {error!r}') from error
        if response.status_code != httpx.codes.OK:
            raise TargetError(
                f'{target} responded with status {response.status_code}'
            )
        try:
            document = msgspec.json.decode(response.content, type=_LoadDocument)
        except msgspec.MsgspecError as error:
            raise TargetError(
                f'{target}: the load report could not be decoded'
            ) from error
        return LoadObservation(**document)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    def _list_urls(self) -> dict[str, str]:
        declarations = self._declarations()
        services = declarations['services'] if declarations else []
        return {
            target['name']: _build_url(service['kind'], target['address'])
            for service in services
            for target in service['targets']
        }


def _build_url(kind: str, address: str) -> str:
    path = '/v1/load' if kind == 'engine' else '/load'
    return f'http://{address}{path}'
