"""Derive the settings of all processes and a scenario from declarations."""

import ipaddress
import itertools
from typing import NamedTuple

from cassiarail.conf.schema import (
    ControllerSettings,
    GatewaySettings,
    PeerSettings,
)
from cassiarail.declarations.schema import DeclarationsDocument
from cassiarail.load.scenario import ScenarioDocument
from cassiarail.placement.backends.base import ModelNeed
from cassiarail.placement.demand import Forecast
from cassiarail.placement.homes import assign_homes
from cassiarail.placement.needs import build_need, list_capacities
from cassiarail.standins.settings import (
    EntryHostDocument,
    HeldDocument,
    PlatformAddresses,
    StandinsDocument,
    derive_settings,
)

_PLATFORM_PORT = 9000
_PEERS_PORT = 7000
_OPERATORS_PORT = 7001
_CALLERS_PORT = 8080
_GATEWAY_OPERATORS_PORT = 8081
_FIRST_PLATFORM_HOST = 240
_FIRST_ENTRY_HOST = 100
_LEASE_DURATION_S = 4.0
_PLANNING_INTERVAL_S = 1.0
_ZIPF_EXPONENT = 0.8
_POISON_SHARE = 0.001
_NETWORK_SIZE = 256


class Layout(NamedTuple):
    """Hold the settings of every process of a deployment."""

    standins: StandinsDocument
    controllers: list[ControllerSettings]
    gateways: list[GatewaySettings]
    store_url: str


def derive_layout(
    declarations: DeclarationsDocument,
    hosts_per_data_centre: int,
    seed: int,
) -> Layout:
    """Return settings with one controller and one gateway per entry host."""
    network = _find_network(declarations)
    platform = PlatformAddresses(
        objects_address=_format_address(
            network, _FIRST_PLATFORM_HOST, _PLATFORM_PORT
        ),
        weights_address=_format_address(
            network, _FIRST_PLATFORM_HOST + 1, _PLATFORM_PORT
        ),
        hosts_address=_format_address(
            network, _FIRST_PLATFORM_HOST + 2, _PLATFORM_PORT
        ),
        control_address=_format_address(
            network, _FIRST_PLATFORM_HOST + 3, _PLATFORM_PORT
        ),
    )
    standins = derive_settings(declarations, platform, seed)
    standins['held'].extend(list_held(declarations))
    store_url = f'http://{platform["objects_address"]}'
    layout = Layout(standins, [], [], store_url)
    host = _FIRST_ENTRY_HOST
    for data_centre in declarations['fleet']['data_centres']:
        numbers = range(host, host + hosts_per_data_centre)
        host += hosts_per_data_centre
        _add_data_centre(layout, network, data_centre, list(numbers))
    return layout


def list_held(declarations: DeclarationsDocument) -> list[HeldDocument]:
    """Return the base replicas as already loaded.

    A deployment starts with targets that already serve their models.
    """
    needs = {
        model['name']: build_need(declarations, model, Forecast(0, 0))
        for model in declarations['models']
    }
    homes = assign_homes(needs.values(), list_capacities(declarations))
    held = []
    for name, base_assignments in homes.base_assignments.items():
        need = needs[name]
        for target in itertools.chain.from_iterable(base_assignments.values()):
            held.append(_make_held(target, need, '', need.bytes))
            held.extend(
                _make_held(target, need, adapter, size)
                for adapter, size in need.adapters.items()
            )
    return held


def _make_held(
    target: str,
    need: ModelNeed,
    adapter: str,
    size: int,
) -> HeldDocument:
    return HeldDocument(
        target=target,
        model=need.key.model,
        version=need.key.version,
        adapter=adapter,
        bytes=size,
    )


def derive_scenario(
    declarations: DeclarationsDocument,
    layout: Layout,
    *,
    duration_s: float,
    requests_per_second: float,
    policy: str,
    tokens_max: int = 40,
    timeout_s: float = 10.0,
) -> ScenarioDocument:
    """Return a scenario with bursty load over all models."""
    fleet = declarations['fleet']
    defaults = fleet['defaults']
    models = declarations['models']
    plain_services = [
        each for each in declarations['services'] if each['kind'] == 'plain'
    ]
    third_s = duration_s / 3
    return ScenarioDocument(
        name=fleet['deployment'],
        policy=policy,
        duration_s=duration_s,
        requests_per_second=requests_per_second,
        zipf_exponent=_ZIPF_EXPONENT,
        gateways=[each['callers']['address'] for each in layout.gateways],
        callers=[
            {'name': each['name'], 'key': f'{each["name"]}-example-key'}
            for each in declarations['callers']
        ],
        models=[
            {
                'name': model['name'],
                'adapters': [each['name'] for each in model['adapters']],
            }
            for model in models
        ],
        demand_changes=[
            {'at_s': third_s, 'model': models[-1]['name'], 'factor': 10.0},
        ],
        bursts=[{'at_s': third_s, 'duration_s': third_s / 2, 'factor': 2.0}],
        text={
            'prefixes': 4,
            'prefix_characters': 400,
            'max_tokens_min': 4,
            'max_tokens_max': tokens_max,
            'stream_share': 0.6,
        },
        service=plain_services[0]['name'],
        filing_share=0.1,
        poison_share=_POISON_SHARE,
        resending={'resends_max': 4, 'wait_s': 1.0},
        objective={
            'first_token_s': defaults['first_token_s'],
            'inter_token_s': defaults['inter_token_s'],
            'timeout_s': min(timeout_s, defaults['timeout_s']),
        },
        accelerators=sum(
            target['accelerators']
            for service in declarations['services']
            for target in service['targets']
        ),
        control_address=layout.standins['control_address'],
    )


def _add_data_centre(
    layout: Layout,
    network: int,
    data_centre: str,
    hosts: list[int],
) -> None:
    peers = [
        PeerSettings(
            name=f'{data_centre}-{host}',
            address=_format_address(network, host, _PEERS_PORT),
        )
        for host in hosts
    ]
    for index, host in enumerate(hosts):
        name = f'{data_centre}-{host}'
        layout.standins['entry_hosts'].append(
            EntryHostDocument(
                name=name,
                data_centre=data_centre,
                address=_format_address(network, host, _CALLERS_PORT),
            ),
        )
        layout.controllers.append(
            ControllerSettings(
                name=f'controller-{name}',
                host=name,
                data_centre=data_centre,
                peers_listener={'address': peers[index]['address']},
                operators={
                    'address': _format_address(network, host, _OPERATORS_PORT)
                },
                peers=peers,
                object_api=layout.store_url,
                host_list=f'http://{layout.standins["hosts_address"]}',
                peer_secret_file='',
                lease_duration_s=_LEASE_DURATION_S,
                planning_interval_s=_PLANNING_INTERVAL_S,
            ),
        )
        layout.gateways.append(
            GatewaySettings(
                name=f'gateway-{name}',
                host=name,
                data_centre=data_centre,
                callers={
                    'address': _format_address(network, host, _CALLERS_PORT)
                },
                operators={
                    'address': _format_address(
                        network, host, _GATEWAY_OPERATORS_PORT
                    ),
                },
                # The controller on the same host comes first.
                controllers=[*peers[index:], *peers[:index]],
                object_api=layout.store_url,
                peer_secret_file='',
            ),
        )


def _find_network(declarations: DeclarationsDocument) -> int:
    """Return the first address of the network of the declared targets."""
    address = declarations['services'][0]['targets'][0]['address']
    host = ipaddress.ip_address(address.rpartition(':')[0])
    return int(host) - int(host) % _NETWORK_SIZE


def _format_address(network: int, host: int, port: int) -> str:
    return f'{ipaddress.ip_address(network + host)}:{port}'
