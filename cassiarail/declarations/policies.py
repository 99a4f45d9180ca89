"""Check the ranges of policy values."""

from collections.abc import Iterator

from cassiarail.core.checks import CheckMessage
from cassiarail.declarations.schema import Policy

_PRIORITY_MAX = 9


def check_policy(path: str, policy: Policy) -> Iterator[CheckMessage]:
    """Return the problems of one set of policy values."""
    for key, setting in policy.items():
        if not isinstance(setting, int | float):
            continue
        may_be_zero = key in {'move_price', 'priority', 'kv_reserve_bytes'}
        if setting < 0 or (setting == 0 and not may_be_zero):
            yield CheckMessage(
                'D017',
                f'{path}.{key}',
                f'{setting} is out of range',
            )
    if policy.get('priority', 0) > _PRIORITY_MAX:
        yield CheckMessage(
            'D017',
            f'{path}.priority',
            f'priorities go from 0 to {_PRIORITY_MAX}',
        )
    replicas_min = policy.get('replicas_min', 0)
    if replicas_min > policy.get('replicas_max', replicas_min):
        yield CheckMessage(
            'D020',
            f'{path}.replicas_min',
            'replicas_min is greater than replicas_max',
        )
