"""Convert reports of gateways into the demand that placement uses."""

from collections.abc import Callable, Mapping

from cassiarail.controller.inputs import DemandSource, Forecast
from cassiarail.core.clock import Clock
from cassiarail.declarations.schema import DeclarationsDocument
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.placement.demand import DemandTracker
from cassiarail.placement.needs import CAPACITY_PER_ACCELERATOR

DeclarationsSource = Callable[[], DeclarationsDocument | None]


class ReportedDemand(DemandSource):
    """Forecast demand from the reports that this controller receives."""

    def __init__(self, declarations: DeclarationsSource, clock: Clock) -> None:
        self._declarations = declarations
        self._tracker = DemandTracker(clock)

    def record_report(self, report: pb.GatewayReport) -> None:
        """Replace the reported concurrency of one gateway."""
        concurrency: dict[str, float] = {}
        for row in report.demand:
            concurrency[row.model] = (
                concurrency.get(row.model, 0) + row.concurrent
            )
        self._tracker.report(report.gateway, concurrency)

    def forecast(self) -> Mapping[str, Forecast]:
        """Return the forecast of every declared model."""
        self._tracker.update()
        declarations = self._declarations()
        models = declarations['models'] if declarations else []
        return {
            model['name']: Forecast(*self._tracker.forecast(model['name']))
            for model in models
        }

    def read_capacity(self, target: str) -> float:
        """Return the concurrent requests a target serves at full speed."""
        declarations = self._declarations()
        services = declarations['services'] if declarations else []
        for service in services:
            for document in service['targets']:
                if document['name'] == target:
                    return document['accelerators'] * CAPACITY_PER_ACCELERATOR
        return CAPACITY_PER_ACCELERATOR
