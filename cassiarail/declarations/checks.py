"""Check the values of declarations that match their schema.

D001 wrong type, D002 unknown key, D003 missing key, D004 file not readable,
D005 not JSON, D010 duplicate name, D011 unknown service, D012 unknown data
centre, D013 bad address, D014 exception without a reason, D015 exception
that matches nothing, D016 two exceptions of one match set the same key, D017
number out of range, D018 unknown target, D019 model larger than any target,
D020 minimum of replicas above maximum, D021 bad key digest, D022 unknown
kind of service, D023 unknown model or service of a caller, D024 default
missing, D025 more data centres required than declared, D026 model on a plain
service, D027 memory doesn't hold one replica of every model, D028 empty match.
"""

import collections
import re
from collections.abc import Iterable, Iterator, Sequence

from cassiarail.conf.checks import is_address
from cassiarail.core.checks import CheckMessage, Severity
from cassiarail.declarations.exceptions import check_exceptions
from cassiarail.declarations.policies import check_policy
from cassiarail.declarations.resolve import (
    index_models,
    index_services,
    resolve_policy,
)
from cassiarail.declarations.schema import (
    DeclarationsDocument,
    ModelDocument,
    TargetDocument,
)

REQUIRED_DEFAULTS = (
    'replicas_min',
    'replicas_max',
    'data_centres_per_model',
    'move_price',
    'first_token_s',
    'inter_token_s',
    'timeout_s',
    'idle_timeout_s',
    'priority',
    'max_tokens',
    'kv_reserve_bytes',
    'retry_budget_share',
)
SERVICE_KINDS = ('engine', 'plain')
WILDCARD = '*'
_KEY_DIGEST = re.compile('sha256:[0-9a-f]{64}')


def check_declarations(
    declarations: DeclarationsDocument,
) -> list[CheckMessage]:
    """Return every problem of declarations that match their schema."""
    problems = [
        *_check_names(declarations),
        *_check_fleet(declarations),
        *_check_services(declarations),
        *_check_models(declarations),
        *_check_callers(declarations),
        *check_exceptions(declarations),
    ]
    if not problems:
        problems.extend(_check_memory(declarations))
    return problems


def list_targets(
    declarations: DeclarationsDocument,
    service_name: str,
) -> list[TargetDocument]:
    """Return the targets of a service, or none if it isn't declared."""
    service = index_services(declarations).get(service_name)
    return service['targets'] if service else []


def _check_names(
    declarations: DeclarationsDocument,
) -> Iterator[CheckMessage]:
    services = declarations['services']
    groups = {
        'models': [model['name'] for model in declarations['models']],
        'services': [service['name'] for service in services],
        'callers': [caller['name'] for caller in declarations['callers']],
        'exceptions': [
            exception['name'] for exception in declarations['exceptions']
        ],
        'targets': [
            target['name']
            for service in services
            for target in service['targets']
        ],
    }
    for group, names in groups.items():
        for name, count in collections.Counter(names).items():
            if count > 1:
                yield CheckMessage(
                    'D010',
                    f'$.{group}',
                    f"the name '{name}' is used {count} times",
                )


def _check_fleet(declarations: DeclarationsDocument) -> Iterator[CheckMessage]:
    fleet = declarations['fleet']
    for key in REQUIRED_DEFAULTS:
        if key not in fleet['defaults']:
            yield CheckMessage(
                'D024',
                f'$.fleet.defaults.{key}',
                'the default is missing',
            )
    yield from check_policy('$.fleet.defaults', fleet['defaults'])
    required = fleet['defaults'].get('data_centres_per_model', 1)
    if required > len(fleet['data_centres']):
        yield CheckMessage(
            'D025',
            '$.fleet.defaults.data_centres_per_model',
            f'{required} required, {len(fleet["data_centres"])} declared',
        )
    for key, limit in fleet['platform'].items():
        if float(str(limit)) <= 0:
            yield CheckMessage(
                'D017',
                f'$.fleet.platform.{key}',
                f'{limit} is not greater than zero',
            )


def _check_services(
    declarations: DeclarationsDocument,
) -> Iterator[CheckMessage]:
    declared = declarations['fleet']['data_centres']
    for position, service in enumerate(declarations['services']):
        path = f'$.services[{position}]'
        if service['kind'] not in SERVICE_KINDS:
            yield CheckMessage(
                'D022',
                f'{path}.kind',
                f"unknown kind '{service['kind']}'",
                f'use one of {", ".join(SERVICE_KINDS)}',
            )
        for index, target in enumerate(service['targets']):
            yield from _check_target(
                f'{path}.targets[{index}]',
                target,
                declared,
                needs_memory=service['kind'] == 'engine',
            )


def _check_target(
    path: str,
    target: TargetDocument,
    data_centres: Sequence[str],
    *,
    needs_memory: bool,
) -> Iterator[CheckMessage]:
    if target['data_centre'] not in data_centres:
        yield CheckMessage(
            'D012',
            f'{path}.data_centre',
            f"unknown data centre '{target['data_centre']}'",
        )
    if not is_address(target['address']):
        yield CheckMessage(
            'D013',
            f'{path}.address',
            f"'{target['address']}' is not an IP address and a port",
        )
    memory = target['accelerators'] * target['accelerator_memory_bytes']
    if needs_memory and memory <= 0:
        yield CheckMessage(
            'D017',
            f'{path}.accelerator_memory_bytes',
            'an engine needs accelerators with memory',
        )


def _check_models(
    declarations: DeclarationsDocument,
) -> Iterator[CheckMessage]:
    services = index_services(declarations)
    for position, model in enumerate(declarations['models']):
        path = f'$.models[{position}]'
        service = services.get(model['service'])
        if service is None:
            yield CheckMessage(
                'D011',
                f'{path}.service',
                f"unknown service '{model['service']}'",
            )
        elif service['kind'] == 'plain':
            yield CheckMessage(
                'D026',
                f'{path}.service',
                f"service '{model['service']}' is not a model service",
            )
        else:
            yield from _check_model_size(path, model, service['targets'])


def _check_model_size(
    path: str,
    model: ModelDocument,
    targets: Iterable[TargetDocument],
) -> Iterator[CheckMessage]:
    if model['bytes'] <= 0:
        yield CheckMessage(
            'D017',
            f'{path}.bytes',
            'the size of a model must be greater than zero',
        )
    largest = max(
        (
            target['accelerators'] * target['accelerator_memory_bytes']
            for target in targets
        ),
        default=0,
    )
    if model['bytes'] > largest:
        yield CheckMessage(
            'D019',
            f'{path}.bytes',
            f'the model needs {model["bytes"]} bytes, the largest target has'
            f' {largest}',
        )


def _check_callers(
    declarations: DeclarationsDocument,
) -> Iterator[CheckMessage]:
    models = {*index_models(declarations), WILDCARD}
    services = {*index_services(declarations), WILDCARD}
    for position, caller in enumerate(declarations['callers']):
        path = f'$.callers[{position}]'
        for digest in caller['key_digests']:
            if not _KEY_DIGEST.fullmatch(digest):
                yield CheckMessage(
                    'D021',
                    f'{path}.key_digests',
                    'a key digest is sha256: and 64 hexadecimal digits',
                    'create one with cassiarail-ctl key',
                )
        unknown = [
            *(name for name in caller['models'] if name not in models),
            *(name for name in caller['services'] if name not in services),
        ]
        if unknown:
            yield CheckMessage(
                'D023',
                path,
                f'unknown models or services: {", ".join(unknown)}',
            )


def _check_memory(
    declarations: DeclarationsDocument,
) -> Iterator[CheckMessage]:
    needed: collections.Counter[str] = collections.Counter()
    for model in declarations['models']:
        policy = resolve_policy(
            declarations,
            {'model': model['name'], 'service': model['service']},
        )
        needed[model['service']] += model['bytes'] + policy['kv_reserve_bytes']
    for name, total in needed.items():
        memory = sum(
            target['accelerators'] * target['accelerator_memory_bytes']
            for target in list_targets(declarations, name)
        )
        if total > memory:
            yield CheckMessage(
                'D027',
                f'$.services.{name}',
                f'one replica of every model needs {total} bytes, the targets'
                f' have {memory}',
                'declare more targets, smaller models or a smaller KV reserve',
                Severity.WARNING,
            )
