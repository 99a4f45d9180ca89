"""Serve the HTTP control API: switch faults, read records and calls."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route, Router

from cassiarail.core.checks import CheckMessage
from cassiarail.core.validation import CheckIds, DocumentChecker
from cassiarail.standins import responses
from cassiarail.standins.application import Standins
from cassiarail.standins.fault_injection import (
    FaultInjector,
    FaultRejectedError,
)
from cassiarail.standins.settings import FaultDocument

_CHECK_IDS = CheckIds(wrong_type='S063', unknown_key='S064', missing_key='S065')


class ControlApi:
    """Serve the control API of the stand-ins."""

    def __init__(self, standins: Standins, injector: FaultInjector) -> None:
        self._standins = standins
        self._injector = injector
        self._checker = DocumentChecker(FaultDocument, _CHECK_IDS)
        self.application = Router(
            routes=[
                Route('/faults', self._list_faults, methods=['GET']),
                Route('/faults', self._switch_fault, methods=['POST']),
                Route('/records', self._report_records),
                Route('/calls', self._report_calls),
            ],
        )

    async def _list_faults(self, request: Request) -> Response:
        names = self._standins.faults.list_active()
        return responses.build_json_response({'faults': names})

    async def _switch_fault(self, request: Request) -> Response:
        try:
            document = msgspec.json.decode(await request.body())
        except msgspec.DecodeError as error:
            return _reject([str(error)])
        problems = self._checker.check(document)
        if problems:
            return _reject(map(CheckMessage.format_line, problems))
        try:
            self._injector.apply(document)
        except FaultRejectedError as error:
            return _reject([error.message])
        return await self._list_faults(request)

    async def _report_records(self, request: Request) -> Response:
        return responses.build_json_response(self._standins.records.describe())

    async def _report_calls(self, request: Request) -> Response:
        calls = [
            {**key._asdict(), 'count': count}
            for key, count in sorted(self._standins.store.calls.items())
        ]
        return responses.build_json_response({'calls': calls})


def _reject(problems: 'list[str] | map[str]') -> Response:
    return responses.build_json_response(
        {'error': {'code': 'fault_rejected', 'problems': list(problems)}},
        responses.STATUS_BAD_REQUEST,
    )
