"""Give the shape of load scenarios; durations are seconds."""

import pathlib

import msgspec
from typing_extensions import TypedDict

from cassiarail.core.checks import CheckMessage
from cassiarail.core.exceptions import CassiarailError
from cassiarail.core.validation import CheckIds, DocumentChecker


class ScenarioError(CassiarailError):
    """Report a scenario or a report that was rejected."""

    error_id = 'CR1061'
    code = 'scenario_rejected'

    def __init__(self, problems: list[CheckMessage]) -> None:
        super().__init__('; '.join(map(CheckMessage.format_line, problems)))
        self.problems = problems


class LoadCaller(TypedDict):
    """Describe a caller and its key."""

    name: str
    key: str


class LoadModel(TypedDict):
    """Describe a model; the first model has the most demand."""

    name: str
    adapters: list[str]


class DemandChange(TypedDict):
    """Multiply the demand for a model from a moment on."""

    at_s: float
    model: str
    factor: float


class Burst(TypedDict):
    """Multiply the demand for everything for some time."""

    at_s: float
    duration_s: float
    factor: float


class TextShape(TypedDict):
    """Describe prompts and lengths.

    ``prefixes`` shared first messages exist for each model, of
    ``prefix_characters`` characters; ``stream_share`` of the completions are
    streamed.
    """

    prefixes: int
    prefix_characters: int
    max_tokens_min: int
    max_tokens_max: int
    stream_share: float


class Resending(TypedDict):
    """Describe how callers send again what was refused or is uncertain."""

    resends_max: int
    wait_s: float


class Objective(TypedDict):
    """Hold the latency objective of a request."""

    first_token_s: float
    inter_token_s: float
    timeout_s: float


class ScenarioDocument(TypedDict):
    """Describe the load on a deployment.

    ``gateways`` are ``ip:port``. ``filing_share`` of the requests are filings
    or payments at ``service``; ``poison_share`` crash the engine that runs
    them. ``control_address`` is the control port of the stand-ins.
    """

    name: str
    policy: str
    duration_s: float
    requests_per_second: float
    zipf_exponent: float
    gateways: list[str]
    callers: list[LoadCaller]
    models: list[LoadModel]
    demand_changes: list[DemandChange]
    bursts: list[Burst]
    text: TextShape
    service: str
    filing_share: float
    poison_share: float
    resending: Resending
    objective: Objective
    accelerators: int
    control_address: str


_CHECK_IDS = CheckIds(wrong_type='S070', unknown_key='S071', missing_key='S072')
_UNREADABLE = 'S073'
_EMPTY = 'S074'


def check_scenario(document: object) -> list[CheckMessage]:
    """Return every problem of a scenario document."""
    checker = DocumentChecker(ScenarioDocument, _CHECK_IDS)
    problems = checker.check(document)
    if problems or not isinstance(document, dict):
        return problems
    return [
        CheckMessage(_EMPTY, f'$.{key}', 'at least one is needed')
        for key in ('gateways', 'callers', 'models')
        if not document[key]
    ]


def read_scenario(path: pathlib.Path) -> ScenarioDocument:
    """Return the scenario of a file; raises ``ScenarioError``."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        message = CheckMessage(_UNREADABLE, str(path), str(error))
        raise ScenarioError([message]) from error
    problems = check_scenario(document)
    if problems:
        raise ScenarioError(problems)
    scenario: ScenarioDocument = document
    return scenario
