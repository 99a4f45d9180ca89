"""Guard against wrong load, unnoticed response faults and wrong reports."""

import random
import uuid

import httpx
import pytest

from cassiarail.core.clock import LoopClock, ManualClock
from cassiarail.core.loops import run_virtual
from cassiarail.core.verdict import Verdict
from cassiarail.load.audit import Audit
from cassiarail.load.client import LoadClient
from cassiarail.load.compare import COMPARED_FIGURES, compare_reports
from cassiarail.load.generator import LoadGenerator
from cassiarail.load.keys import make_key
from cassiarail.load.outcomes import ResponseFault
from cassiarail.load.plot import plot_reports
from cassiarail.load.report import (
    RunLabels,
    build_report,
    read_reports,
    write_report,
)
from cassiarail.load.scenario import check_scenario
from cassiarail.standins.batch import CompletionRequest
from cassiarail.standins.completions import encode_token_event
from cassiarail.standins.faults import FaultName
from cassiarail.standins.tokens import make_token
from tests.standins.support import run_scenario


def make_scenario(**more):
    return {
        'name': 'test',
        'policy': 'ours',
        'duration_s': 20.0,
        'requests_per_second': 10.0,
        'zipf_exponent': 1.0,
        'gateways': ['10.0.0.9:80'],
        'callers': [{'name': 'bex', 'key': 'secret'}],
        'models': [
            {'name': 'm', 'adapters': []},
            {'name': 'n', 'adapters': ['a']},
        ],
        'demand_changes': [],
        'bursts': [],
        'text': {
            'prefixes': 2,
            'prefix_characters': 100,
            'max_tokens_min': 4,
            'max_tokens_max': 12,
            'stream_share': 0.5,
        },
        'service': 'ernteregister',
        'filing_share': 0.2,
        'poison_share': 0.0,
        'resending': {'resends_max': 2, 'wait_s': 1.0},
        'objective': {
            'first_token_s': 0.5,
            'inter_token_s': 0.05,
            'timeout_s': 10.0,
        },
        'accelerators': 2,
        'control_address': '10.0.1.4:80',
        **more,
    }


def plan(scenario, seed=1):
    return list(LoadGenerator(scenario, random.Random(seed)).plan())


def test_load_is_reproducible_and_follows_demand_changes():
    change = {'at_s': 0.0, 'model': 'n', 'factor': 10.0}
    burst = {'at_s': 10.0, 'duration_s': 5.0, 'factor': 5.0}
    scenario = make_scenario(demand_changes=[change], filing_share=0.0)
    assert check_scenario(scenario) == []
    assert plan(scenario) == plan(scenario) != plan(scenario, 2)
    models = [planned.model for planned in plan(scenario)]
    assert models.count('n') > 3 * models.count('m')
    assert len(models) == pytest.approx(20 * 10 * 4, rel=0.2)
    times = [request.at_s for request in plan(make_scenario(bursts=[burst]))]
    assert times == sorted(times)
    assert sum(10 <= at < 15 for at in times) > 2.5 * sum(
        5 <= at < 10 for at in times
    )


def test_all_problems_of_a_malformed_scenario_are_reported():
    problems = check_scenario(make_scenario(accelerators='2', polices=1))
    assert {problem.path for problem in problems} == {
        '$.accelerators',
        '$.polices',
    }
    assert check_scenario(make_scenario(models=[]))


def test_keys_are_version_7_uuids_with_a_timestamp():
    now = ManualClock().now()
    key = uuid.UUID(make_key(now, random.Random(1)))
    assert key.version == 7
    assert key.variant == uuid.RFC_4122
    assert key.int >> 80 == int(now.timestamp() * 1000)


def send_one(respond, **more):
    """Send the first planned completion to a handler and return the client."""

    async def main():
        scenario = make_scenario(
            filing_share=0.0, resending={'resends_max': 0, 'wait_s': 1.0}
        )
        scenario['text']['stream_share'] = 1.0
        scenario.update(more)
        client = LoadClient(
            scenario,
            httpx.MockTransport(respond),
            LoopClock(),
            random.Random(1),
        )
        await client.run(plan(scenario)[:1])
        return client

    return run_virtual(main)


def stream(planned, tokens, ending='done', ids=None):
    completion = CompletionRequest('r', 'm', '', '', '', 1, 99)
    count = len(tokens)
    events = [
        encode_token_event(
            completion, ids[position] if ids else position, token
        )
        for position, token in enumerate(tokens)
    ]
    if ending == 'done':
        events.append(encode_token_event(completion, count, '', 'length'))
        events.append(b'data: [DONE]\n\n')
    if ending == 'error':
        events.append(
            b'event: error\ndata: {"error":{"code":"quarantined"}}\n\n'
        )
    return httpx.Response(
        200, content=b''.join(events), headers={'X-Verdict': 'ran'}
    )


def receive_stream(change):
    scenario = make_scenario(filing_share=0.0)
    scenario['text']['stream_share'] = 1.0
    planned = plan(scenario)[0]
    count = planned.body['max_tokens']
    expected = [
        make_token(planned.fingerprint, position) for position in range(count)
    ]
    client = send_one(lambda request: change(planned, expected))
    return client.outcomes[0]


def test_every_defect_of_a_stream_is_detected():
    # A wrong, missing, repeated or truncated token must be detected.
    assert receive_stream(stream).is_successful
    misdelivered = receive_stream(
        lambda planned, expected: stream(planned, ['beef ', *expected[1:]])
    )
    assert misdelivered.last.fault is ResponseFault.MISDELIVERED
    presented_as_complete = (
        lambda planned, expected: stream(planned, expected[:-1]),
        lambda planned, expected: stream(
            planned, expected, ids=[0, *range(len(expected) - 1)]
        ),
    )
    truncated = (
        lambda planned, expected: stream(planned, expected, ending=''),
        lambda planned, expected: stream(planned, expected[:2], ending='error'),
    )
    for changes, fault in (
        (presented_as_complete, ResponseFault.BROKEN),
        (truncated, ResponseFault.TRUNCATED),
    ):
        for change in changes:
            outcome = receive_stream(change)
            assert outcome.last.fault is fault
            assert not outcome.is_successful


def test_only_failed_connects_count_as_not_run():
    def refuse(request):
        raise httpx.ConnectError('refused')

    def reset(request):
        raise httpx.ReadError('reset')

    assert send_one(refuse).outcomes[0].verdict is Verdict.NOT_RUN
    assert send_one(reset).outcomes[0].verdict is Verdict.MAY_HAVE_RUN


def test_latency_includes_the_delay_since_the_intended_start():
    # A stalled gateway must not hide the waiting time of later requests.
    async def main():
        clock = LoopClock()
        scenario = make_scenario(filing_share=0.0, duration_s=1.0)
        refused = iter((True,))

        async def respond(request):
            if next(refused, False):
                return httpx.Response(503, headers={'X-Verdict': 'not-run'})
            await clock.sleep(3)
            body = b'{"choices":[{"message":{"content":""}}]}'
            return httpx.Response(200, content=body)

        scenario['text']['stream_share'] = 0.0
        client = LoadClient(
            scenario, httpx.MockTransport(respond), clock, random.Random(1)
        )
        await client.run(plan(scenario)[:1])
        return client.outcomes[0]

    outcome = run_virtual(main)
    assert len(outcome.attempts) == 2
    assert outcome.first_token_s >= 3.5


def test_resends_reuse_the_idempotency_key():
    keys = []

    def respond(request):
        keys.append(request.headers['idempotency-key'])
        return httpx.Response(409, headers={'X-Verdict': 'may-have-run'})

    client = send_one(
        respond,
        filing_share=1.0,
        resending={'resends_max': 2, 'wait_s': 1.0},
    )
    assert len(keys) == 3
    assert len(set(keys)) == 1
    assert client.outcomes[0].verdict is Verdict.MAY_HAVE_RUN


def _run_on_engine(scenario, fault=None):
    """Send a plan through a gateway that only forwards requests."""
    results = []

    async def main(standins, inner):
        if fault is not None:
            standins.faults.switch_on(fault)

        async def forward(request):
            path = request.url.path
            host = '10.0.0.1'
            if path.startswith('/services/'):
                host = '10.0.0.2'
                path = f'/{path.rsplit("/", 1)[1]}'
            url = request.url.copy_with(host=host, path=path)
            forwarded = httpx.Request(
                request.method,
                url,
                content=await request.aread(),
                headers={'X-Request-Id': str(len(standins.records.runs))},
                extensions=request.extensions,
            )
            return await inner.send(forwarded, stream=True)

        client = LoadClient(
            scenario,
            httpx.MockTransport(forward),
            LoopClock(),
            _make_generator(),
        )
        await client.run(plan(scenario))
        counters = Audit(client.outcomes, standins.records).count(0.5, 0.05)
        results.append((client, counters))

    run_scenario(main)
    return results[0]


def _make_generator():
    return random.Random(4)


def test_a_correct_system_has_no_violations_and_a_complete_report(tmp_path):
    scenario = make_scenario(models=[{'name': 'm', 'adapters': []}])
    client, counters = _run_on_engine(scenario)
    assert counters.requests == counters.answered > 150
    report = build_report(
        counters, client.outcomes, client.gaps, RunLabels(1, 'ours', 2)
    )
    assert report['attainment'] == 1
    assert report['attainment_per_accelerator'] == 0.5
    assert 0.01 < report['inter_token_seconds_p95'] < 0.05
    assert 0 < report['first_token_seconds_p50'] < 0.5
    write_report(tmp_path / 'a.json', report)
    assert read_reports(tmp_path) == [report]
    plot_reports([report], tmp_path / 'a.svg')
    assert b'<svg' in (tmp_path / 'a.svg').read_bytes()


def test_an_injected_defect_is_detected_end_to_end():
    scenario = make_scenario(models=[{'name': 'm', 'adapters': []}])
    _client, counters = _run_on_engine(scenario, FaultName.SERVICE_RUNS_TWICE)
    assert counters.doubled > 10


def test_comparisons_use_common_seeds_and_bound_the_ratio():
    def report(seed, attainment):
        return {
            **dict.fromkeys(COMPARED_FIGURES, 0),
            'seed': seed,
            'attainment': attainment,
        }

    first = [report(seed, 0.5 + seed / 100) for seed in range(10)]
    second = [report(seed, 0.6 + seed / 100) for seed in range(5, 15)]
    compared = {row.name: row for row in compare_reports(first, second)}
    row = compared['attainment']
    assert row.seeds == 5
    assert row.low <= row.ratio <= row.high
    assert row.ratio == pytest.approx(0.67 / 0.57)
    assert compared['moves'].ratio is None
