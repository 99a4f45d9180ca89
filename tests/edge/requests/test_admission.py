"""Test whose request it is, and that a key stays on the host.

Keys were passed on to engines, and requests with unknown keys ran.
"""

import pytest

from cassiarail.edge.dialect import AttemptParameters
from cassiarail.edge.registry.configuration import CurrentConfiguration
from cassiarail.edge.requests.admission import RequestAdmission, authenticate
from cassiarail.edge.requests.refusals import Refusal
from cassiarail.http1.messages import RequestHead, find_header
from cassiarail.platform.dialect import PlatformDialect
from cassiarail.platform.documents import decode_configuration

KEY = 'k7b2ex5wa5xwyhks8nbk'
TENANT = {
    'name': 'hule',
    'api_keys': [KEY, 'asnm'],
    'priority': 1,
    'unit': 'tokens',
    'plain_tokens': 200,
    'rate_per_s': 100,
    'burst': 50,
}


def make_route(name, *, anon=False):
    return {
        'name': name,
        'host': 'h.example',
        'path_prefix': f'/{name}/',
        'kind': 'idempotent',
        'timeout_ms': 1000,
        'attempts': 1,
        'service': 's',
        'anon': anon,
    }


def make_configuration(version=1, tenants=(TENANT,)):
    return decode_configuration(
        {
            'version': version,
            'routes': [make_route('open', anon=True), make_route('closed')],
            'services': [{'name': 's'}],
            'tenants': list(tenants),
        }
    )


class FakeExchange:
    """Hold the head of a request."""

    received_at = 0.0

    def __init__(self, path=b'/closed/x', key=KEY):
        headers = [
            (b'host', b'h.example'),
            (b'x-cassiarail-request-id', b'r1'),
            (b'x-cassiarail-tenant', b'forged'),
        ]
        if key is not None:
            headers.append((b'authorization', b'Bearer ' + key.encode()))
        self.head = RequestHead(b'GET', path, headers)


def admit(configuration, exchange):
    current = CurrentConfiguration()
    if configuration is not None:
        current.offer(configuration)
    return RequestAdmission(PlatformDialect(), current).admit(exchange)


@pytest.mark.parametrize('key', [None, 'unknown', '', KEY.upper()])
def test_a_request_without_a_known_key_is_refused_with_401(key):
    with pytest.raises(Refusal) as caught:
        admit(make_configuration(), FakeExchange(key=key))
    assert caught.value.status == 401


def test_a_host_without_configuration_refuses_no_key():
    with pytest.raises(Refusal) as caught:
        admit(None, FakeExchange(key='unknown'))
    assert caught.value.status == 503


def test_an_unknown_route_is_not_found_with_any_key():
    with pytest.raises(Refusal) as caught:
        admit(make_configuration(), FakeExchange(b'/gone/x', key=None))
    assert caught.value.status == 404


@pytest.mark.parametrize('key', [None, 'unknown', KEY])
def test_an_anonymous_route_needs_no_key(key):
    job = admit(make_configuration(), FakeExchange(b'/open/x', key=key))
    assert job.account is None


def test_a_key_that_was_taken_away_is_refused():
    after = make_configuration(2, [{**TENANT, 'api_keys': ['asnm']}])
    assert authenticate(after, after.routes[1], 'asnm').name == 'hule'
    with pytest.raises(Refusal):
        authenticate(after, after.routes[1], KEY)


def test_the_rank_of_the_account_has_precedence():
    assert admit(make_configuration(), FakeExchange()).rank == 1
    tenants = [{**TENANT, 'priority': None}]
    job = admit(make_configuration(tenants=tenants), FakeExchange())
    assert job.rank == job.route.rank


@pytest.mark.parametrize(
    ('path', 'account'), [(b'/closed/x', 'hule'), (b'/open/x', None)]
)
def test_targets_get_the_name_of_the_account_and_no_key(path, account):
    exchange = FakeExchange(path)
    job = admit(make_configuration(), exchange)
    sent = PlatformDialect().encode_attempt(
        exchange.head, AttemptParameters('i', 1, 0, account=job.account_name)
    )
    assert find_header(sent.headers, b'x-cassiarail-tenant') == account
    assert KEY.encode() not in b''.join(map(b''.join, sent.headers))


def test_without_accounts_an_authorization_header_is_passed_on():
    exchange = FakeExchange()
    job = admit(make_configuration(tenants=()), exchange)
    sent = PlatformDialect().encode_attempt(
        exchange.head, AttemptParameters('i', 1, 0, account=job.account_name)
    )
    assert find_header(sent.headers, b'authorization') == f'Bearer {KEY}'
    assert find_header(sent.headers, b'x-cassiarail-tenant') is None


def test_no_key_is_kept_in_the_configuration():
    assert KEY not in repr(vars(make_configuration().accounts))


@pytest.mark.parametrize(
    ('tokens', 'cost'), [((30, 12), 42), ((0, 0), 200), ((30, 0), 30)]
)
def test_a_request_counts_as_its_tokens(tokens, cost):
    quota = make_configuration().accounts.get('hule').quota
    assert quota.compute_cost(*tokens) == cost


def test_an_account_without_a_rate_has_no_quota():
    tenants = [{**TENANT, 'rate_per_s': 0}]
    account = make_configuration(tenants=tenants).accounts.get('hule')
    assert account.quota is None
