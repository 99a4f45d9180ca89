"""Generate the open-loop load of a scenario from a seed."""

import enum
import random
from collections.abc import Iterator
from typing import Any, NamedTuple

from cassiarail.load.scenario import LoadModel, ScenarioDocument
from cassiarail.standins.completions import POISON_MARKER
from cassiarail.standins.tokens import fingerprint_body

_FILLER_TEXT = 'brine ladle rake pan sluice weir '
_AMOUNT_MAX = 1000
_PRIORITY_COUNT = 10
_RECORD_BITS = 48


class RequestKind(enum.Enum):
    """Enumerate the kinds of requests that the load tool sends."""

    STREAM = 'stream'
    NON_STREAMING = 'whole'
    FILING = 'filings'
    PAYMENT = 'payments'

    @property
    def is_completion(self) -> bool:
        """Return whether the request is a completion by a model."""
        return self in {RequestKind.STREAM, RequestKind.NON_STREAMING}


class PlannedRequest(NamedTuple):
    """Describe one logical request; resends repeat the same body and key."""

    number: int
    at_s: float
    kind: RequestKind
    caller: str
    key: str
    model: str
    body: dict[str, Any]
    is_poisoned: bool = False

    @property
    def fingerprint(self) -> str:
        """Return the fingerprint of the request in the stand-ins' records."""
        if self.kind.is_completion:
            return fingerprint_body(self.body)
        return str(self.body['id'])


class LoadGenerator:
    """Draw requests whose start doesn't depend on earlier responses."""

    def __init__(
        self,
        scenario: ScenarioDocument,
        generator: random.Random,
    ) -> None:
        self._scenario = scenario
        self._generator = generator
        exponent = scenario['zipf_exponent']
        weights = [
            rank**-exponent for rank in range(1, len(scenario['models']) + 1)
        ]
        total = sum(weights)
        self._weights = [weight / total for weight in weights]

    def plan(self) -> Iterator[PlannedRequest]:
        """Yield the requests in order of their intended start."""
        # Thinning: gaps are drawn at the highest rate, and a request is
        # accepted with the ratio of the rate at its time to the highest.
        highest_rate = self._find_highest_rate()
        at_s = float(0)
        number = 0
        while highest_rate:
            at_s += self._generator.expovariate(highest_rate)
            if at_s >= self._scenario['duration_s']:
                return
            if self._generator.random() * highest_rate < self.get_rate(at_s):
                yield self._draw_request(number, at_s)
                number += 1

    def get_rate(self, at_s: float) -> float:
        """Return the request rate per second at a time."""
        rate = self._scenario['requests_per_second']
        for burst in self._scenario['bursts']:
            if 0 <= at_s - burst['at_s'] < burst['duration_s']:
                rate *= burst['factor']
        return rate * sum(self._get_weights(at_s))

    def _get_weights(self, at_s: float) -> list[float]:
        factors = dict.fromkeys(
            (model['name'] for model in self._scenario['models']), float(1)
        )
        for change in self._scenario['demand_changes']:
            if change['at_s'] <= at_s and change['model'] in factors:
                factors[change['model']] *= change['factor']
        return [
            weight * factor
            for weight, factor in zip(
                self._weights, factors.values(), strict=True
            )
        ]

    def _find_highest_rate(self) -> float:
        times = [float(0)]
        for change in self._scenario['demand_changes']:
            times.append(change['at_s'])
        for burst in self._scenario['bursts']:
            times.append(burst['at_s'])
            times.append(burst['at_s'] + burst['duration_s'])
        return max(self.get_rate(at_s) for at_s in times)

    def _draw_request(self, number: int, at_s: float) -> PlannedRequest:
        caller = self._generator.choice(self._scenario['callers'])
        if self._generator.random() < self._scenario['filing_share']:
            return self._draw_filing(number, at_s, caller['name'])
        models = self._scenario['models']
        model = self._generator.choices(models, self._get_weights(at_s))[0]
        is_poisoned = self._generator.random() < self._scenario['poison_share']
        is_streamed = (
            self._generator.random() < self._scenario['text']['stream_share']
        )
        kind = RequestKind.STREAM if is_streamed else RequestKind.NON_STREAMING
        body = self._draw_completion(number, model, is_poisoned)
        body['stream'] = is_streamed
        return PlannedRequest(
            number,
            at_s,
            kind,
            caller['name'],
            caller['key'],
            model['name'],
            body,
            is_poisoned,
        )

    def _draw_completion(
        self,
        number: int,
        model: LoadModel,
        is_poisoned: bool,
    ) -> dict[str, Any]:
        text = self._scenario['text']
        prefix = self._generator.randrange(max(1, text['prefixes']))
        filler = _FILLER_TEXT * (
            text['prefix_characters'] // len(_FILLER_TEXT) + 1
        )
        marker = POISON_MARKER if is_poisoned else ''
        # The number makes each logical request unique, so that the records
        # of engines can be matched to requests.
        question = f'question {number} {self._generator.random()} {marker}'
        body: dict[str, Any] = {
            'model': model['name'],
            'messages': [
                {'role': 'system', 'content': f'{prefix} {filler}'},
                {'role': 'user', 'content': question},
            ],
            'max_tokens': self._generator.randint(
                text['max_tokens_min'], text['max_tokens_max']
            ),
            'priority': self._generator.randrange(_PRIORITY_COUNT),
        }
        adapters = ['', *model['adapters']]
        adapter = self._generator.choice(adapters)
        if adapter:
            body['adapter'] = adapter
        return body

    def _draw_filing(
        self,
        number: int,
        at_s: float,
        caller: str,
    ) -> PlannedRequest:
        kinds = (RequestKind.FILING, RequestKind.PAYMENT)
        keys = {
            entry['name']: entry['key'] for entry in self._scenario['callers']
        }
        return PlannedRequest(
            number,
            at_s,
            self._generator.choice(kinds),
            caller,
            keys[caller],
            '',
            {
                'id': f'{number}-{self._generator.getrandbits(_RECORD_BITS):x}',
                'amount': self._generator.randint(1, _AMOUNT_MAX),
            },
        )
