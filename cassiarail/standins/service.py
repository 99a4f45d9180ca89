"""Simulate a plain service (docs/design.md, section 4.3)."""

from collections.abc import Callable
from typing import Any, NamedTuple

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route, Router

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.standins import responses
from cassiarail.standins.events import (
    TARGET_CRASHED,
    TARGET_LEAVING,
    TARGET_RESTARTED,
    TARGET_STOPPED,
)
from cassiarail.standins.faults import ActiveFaults, FaultName
from cassiarail.standins.loads import LoadHistory, LoadNumbers
from cassiarail.standins.records import (
    COMPLETED,
    CRASHED,
    CUT_BY_STOP,
    ExecutionRecords,
)

_Document = dict[str, Any]


class ServiceSettings(NamedTuple):
    """Hold the settings of one service instance; times are in seconds."""

    name: str
    service: str
    data_centre: str
    address: str
    write_s: float = 0.02
    read_s: float = 0.005
    running_max: int = 64
    report_lag_s: float = 0.5


class RecordStore:
    """Store the records that all instances of a service share."""

    def __init__(self) -> None:
        self.entries: dict[str, list[_Document]] = {}

    def write(self, record_id: str, document: _Document) -> None:
        """Append a record; a repeated call appends it again."""
        self.entries.setdefault(record_id, []).append(document)


class PlainService:
    """Simulate the service process at one target address."""

    def __init__(
        self,
        settings: ServiceSettings,
        clock: Clock,
        faults: ActiveFaults,
        records: ExecutionRecords,
        record_store: RecordStore,
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._faults = faults
        self._records = records
        self._record_store = record_store
        self._incarnation = 0
        # Set by the owner to break the connections of a crashed target.
        self.on_crash: Callable[[], None] = _ignore_crash
        self._running: set[int] = set()
        self._reset()
        self.application = Router(
            routes=[
                Route('/load', self._report_load),
                Route('/filings', self._write, methods=['POST']),
                Route('/payments', self._write, methods=['POST']),
                Route('/records/{record}', self._read),
            ],
        )

    @property
    def in_progress(self) -> int:
        """Return the number of calls in progress."""
        return len(self._running)

    def crash(self) -> None:
        """Interrupt all calls in progress immediately."""
        if self.is_down:
            return
        emit_event(TARGET_CRASHED, target=self.settings.name)
        self._terminate(CRASHED)
        self.on_crash()

    def restart(self) -> None:
        """Start a new instance."""
        self._reset()
        emit_event(TARGET_RESTARTED, target=self.settings.name)

    def leave(self) -> None:
        """Refuse new calls; those in progress continue."""
        self.is_leaving = True
        self._records.record_departure(self.settings.name, self.instance)
        emit_event(TARGET_LEAVING, target=self.settings.name)

    def stop(self) -> None:
        """Complete a planned stop; interrupt calls still in progress."""
        emit_event(TARGET_STOPPED, target=self.settings.name)
        self._terminate(CUT_BY_STOP)

    def _reset(self) -> None:
        self._incarnation += 1
        self.instance = f'{self.settings.name}#{self._incarnation}'
        self.is_down = False
        self.is_leaving = False
        self._loads = LoadHistory(
            self._clock, self.instance, self.settings.report_lag_s
        )

    def _terminate(self, outcome: str) -> None:
        self.is_down = True
        for number in self._running:
            self._records.record_run_end(number, outcome)
        self._running.clear()

    def _check_running(self, instance: str) -> None:
        if self.is_down or instance != self.instance:
            raise responses.BrokenConnectionError('target is down')

    async def _report_load(self, request: Request) -> Response:
        self._check_running(self.instance)
        self._loads.sample(
            LoadNumbers(self.in_progress, 0, self.settings.running_max),
        )
        return responses.build_json_response(
            self._loads.describe(self.is_leaving)
        )

    async def _read(self, request: Request) -> Response:
        instance = self.instance
        self._check_running(instance)
        request_id = request.headers.get('x-request-id', '')
        self._records.record_arrival(self.settings.name, instance, request_id)
        if self.is_leaving:
            return responses.build_refusal('leaving')
        await self._clock.sleep(self.settings.read_s)
        self._check_running(instance)
        stored_records = self._record_store.entries.get(
            request.path_params['record']
        )
        if not stored_records:
            return responses.build_json_response(
                {'error': {'code': 'unknown_record'}},
                responses.STATUS_NOT_FOUND,
            )
        return responses.build_json_response(stored_records[0])

    async def _write(self, request: Request) -> Response:
        instance = self.instance
        self._check_running(instance)
        body = await responses.read_json(request)
        if body is None or not body.get('id'):
            return responses.build_refusal(
                'bad_request', responses.STATUS_BAD_REQUEST
            )
        request_id = request.headers.get('x-request-id', '')
        self._records.record_arrival(self.settings.name, instance, request_id)
        if self.is_leaving:
            return responses.build_refusal('leaving')
        if self.in_progress >= self.settings.running_max:
            return responses.build_refusal('overloaded')
        return await self._execute_write(request, body, instance)

    async def _execute_write(
        self,
        request: Request,
        body: _Document,
        instance: str,
    ) -> Response:
        record_id = str(body['id'])
        number = self._records.record_run_start(
            self.settings.name,
            instance,
            request.headers.get('x-request-id', ''),
            record_id,
            request.headers.get('idempotency-key', ''),
        )
        self._running.add(number)
        # The write takes effect halfway through, so that a crash can happen
        # before or after it.
        await self._clock.sleep(self.settings.write_s / 2)
        self._check_running(instance)
        self._store_record(request, record_id, body)
        name = self.settings.name
        if self._faults.is_on(FaultName.SERVICE_RUNS_TWICE, name):
            self._store_record(request, record_id, body)
        await self._clock.sleep(self.settings.write_s / 2)
        self._check_running(instance)
        self._running.discard(number)
        self._records.record_run_end(number, COMPLETED)
        if self._faults.should_trigger(FaultName.SERVICE_ANSWER_LOST, name):
            raise responses.BrokenConnectionError('response lost')
        return responses.build_json_response(
            {'id': record_id, 'state': 'written'},
            responses.STATUS_CREATED,
        )

    def _store_record(
        self,
        request: Request,
        record_id: str,
        body: _Document,
    ) -> None:
        self._record_store.write(record_id, body)
        self._records.record_filing(
            self.settings.name,
            request.url.path,
            record_id,
            request.headers.get('x-request-id', ''),
            request.headers.get('idempotency-key', ''),
        )


def _ignore_crash() -> None:
    """Do nothing: the default crash handler of a target without an owner."""
