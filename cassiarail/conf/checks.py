"""Check the values of settings that match their schema.

S001 wrong type, S002 unknown key, S003 missing key, S004 file not readable,
S005 not JSON, S010 bad address, S011 not positive, S012 empty name,
S013 incomplete TLS, S014 bad URL, S015 unknown log level, S016 two listeners
on one address, S017 share out of range.
"""

import ipaddress
from collections.abc import Iterator, Mapping
from typing import Any
from urllib.parse import urlsplit

from cassiarail.core.checks import CheckMessage
from cassiarail.core.validation import CheckIds

SCHEMA_CHECKS = CheckIds('S001', 'S002', 'S003')
LOG_LEVELS = ('debug', 'info', 'warning', 'error')
_LISTENER_KEYS = ('callers', 'operators', 'peers_listener')
_PEER_LIST_KEYS = ('controllers', 'peers')
_URL_KEYS = ('object_api', 'host_list')
_NAME_KEYS = ('name', 'host', 'data_centre')
_MAX_PORT = 65_535


def check_settings(settings: Mapping[str, Any]) -> list[CheckMessage]:
    """Return every problem of settings that match their schema."""
    return [
        *_check_names(settings),
        *_check_addresses(settings),
        *_check_tls(settings),
        *_check_urls(settings),
        *_check_numbers(settings, '$'),
        *_check_telemetry(settings.get('telemetry', {})),
    ]


def is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdigit() and int(port) <= _MAX_PORT


def _check_names(settings: Mapping[str, Any]) -> Iterator[CheckMessage]:
    for key in _NAME_KEYS:
        if settings.get(key, '-').strip():
            continue
        yield CheckMessage('S012', f'$.{key}', 'the name is empty')


def _list_addresses(settings: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    for key in _LISTENER_KEYS:
        if key in settings:
            yield f'$.{key}.address', settings[key]['address']
    for peer_list in _PEER_LIST_KEYS:
        for position, peer in enumerate(settings.get(peer_list, ())):
            yield f'$.{peer_list}[{position}].address', peer['address']


def _check_addresses(settings: Mapping[str, Any]) -> Iterator[CheckMessage]:
    listener_addresses: set[str] = set()
    for path, address in _list_addresses(settings):
        if not is_address(address):
            yield CheckMessage(
                'S010',
                path,
                f"'{address}' is not an IP address and a port",
                'write it as 10.0.0.1:8080',
            )
        # An index marks a peer; only listeners must have separate addresses.
        if '[' in path:
            continue
        if address in listener_addresses:
            yield CheckMessage(
                'S016',
                path,
                f"another listener uses '{address}'",
                'callers, peers and operators need separate listeners',
            )
        listener_addresses.add(address)


def _check_tls(settings: Mapping[str, Any]) -> Iterator[CheckMessage]:
    present = [key for key in _LISTENER_KEYS if key in settings]
    for key in present:
        listener = settings[key]
        has_certificate = 'certificate_file' in listener
        if has_certificate != ('private_key_file' in listener):
            yield CheckMessage(
                'S013',
                f'$.{key}',
                'TLS needs both a certificate and a private key',
                'set certificate_file and private_key_file, or neither',
            )


def _check_urls(settings: Mapping[str, Any]) -> Iterator[CheckMessage]:
    present = [key for key in _URL_KEYS if key in settings]
    for key in present:
        parts = urlsplit(settings[key])
        if parts.scheme not in {'http', 'https'} or not parts.netloc:
            yield CheckMessage(
                'S014',
                f'$.{key}',
                f"'{settings[key]}' is not an HTTP URL",
                'write it as http://10.0.0.1:8080',
            )


def _check_numbers(
    section: Mapping[str, Any],
    path: str,
) -> Iterator[CheckMessage]:
    for key, setting in section.items():
        if isinstance(setting, dict):
            yield from _check_numbers(setting, f'{path}.{key}')
        elif isinstance(setting, int | float) and setting <= 0:
            if key == 'trace_sample_share':
                continue
            yield CheckMessage(
                'S011',
                f'{path}.{key}',
                f'{setting} is not greater than zero',
            )


def _check_telemetry(section: Mapping[str, Any]) -> Iterator[CheckMessage]:
    level = section.get('log_level', LOG_LEVELS[0])
    if level not in LOG_LEVELS:
        yield CheckMessage(
            'S015',
            '$.telemetry.log_level',
            f"unknown log level '{level}'",
            f'use one of {", ".join(LOG_LEVELS)}',
        )
    share = section.get('trace_sample_share', 0)
    if not 0 <= share <= 1:
        yield CheckMessage(
            'S017',
            '$.telemetry.trace_sample_share',
            f'{share} is not between 0 and 1',
        )
