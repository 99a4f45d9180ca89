"""Define and read load scenarios; durations are seconds."""

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
    """Define a caller and its API key."""

    name: str
    key: str


class LoadModel(TypedDict):
    """Define a model; demand falls in the order of the list."""

    name: str
    adapters: list[str]


class DemandChange(TypedDict):
    """Multiply the demand for a model from ``at_s`` on."""

    at_s: float
    model: str
    factor: float


class Burst(TypedDict):
    """Multiply the total demand for ``duration_s``."""

    at_s: float
    duration_s: float
    factor: float


class TextSpec(TypedDict):
    """Define prompts and lengths of completions.

    Each model has ``prefixes`` shared first messages of
    ``prefix_characters`` characters. ``stream_share`` of the completions are
    streamed.
    """

    prefixes: int
    prefix_characters: int
    max_tokens_min: int
    max_tokens_max: int
    stream_share: float


class ResendPolicy(TypedDict):
    """Define how callers resend refused or uncertain requests."""

    resends_max: int
    wait_s: float


class Objective(TypedDict):
    """Define the latency objective of a request."""

    first_token_s: float
    inter_token_s: float
    timeout_s: float


class ScenarioDocument(TypedDict):
    """Define the load on a deployment.

    ``gateways`` are ``ip:port``. ``filing_share`` of the requests are filings
    or payments sent to ``service``; ``poison_share`` of the completions crash
    the engine that runs them. ``control_address`` is the control port of the
    stand-ins.
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
    text: TextSpec
    service: str
    filing_share: float
    poison_share: float
    resending: ResendPolicy
    objective: Objective
    accelerators: int
    control_address: str


_CHECK_IDS = CheckIds(wrong_type='S070', unknown_key='S071', missing_key='S072')
_UNREADABLE = 'S073'
_EMPTY_LIST = 'S074'


def check_scenario(document: object) -> list[CheckMessage]:
    """Return all problems of a scenario document."""
    checker = DocumentChecker(ScenarioDocument, _CHECK_IDS)
    problems = checker.check(document)
    if problems or not isinstance(document, dict):
        return problems
    return [
        CheckMessage(_EMPTY_LIST, f'$.{key}', 'at least one is required')
        for key in ('gateways', 'callers', 'models')
        if not document[key]
    ]


def read_scenario(path: pathlib.Path) -> ScenarioDocument:
    """Return the scenario in a file.

    Raises ``ScenarioError`` if it can't be read or is malformed.
    """
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
