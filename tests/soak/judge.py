"""Check the promises from what callers and targets saw."""

import collections
import re

from tests.soak.engines import EVENTS
from tests.soak.touch import (
    Troubles,
    find_late_requests,
    find_work_for_nobody,
)

# Statuses that promise that a request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
# Between orders of two machines to one engine, and after a machine that was
# frozen runs again.
LEASE_S = 3.0
THAW_S = 0.3
# Of the requests after the last fault has healed, at least this share is
# served.
RECOVERED_SHARE = 0.25
_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)-(\d+)\n\n')


def find_broken_promises(calls, records, thawed=(), troubles=()):
    """Return a line for each promise that was broken.

    ``thawed`` holds pairs of the machine that was frozen and the time at
    which it ran again, ``troubles`` what disturbed hosts, engines and store.
    """
    broken = []
    broken.extend(_find_doubled(calls, records))
    for call in calls:
        ran = records.runs[call.request_id]
        if call.status in PROMISES and ran and not call.kind.may_repeat:
            broken.append(
                f'REFUSED {call.request_id} {call.status} though it ran'
            )
        if 200 <= call.status < 300:
            broken.extend(_check_success(call))
    broken.extend(
        f'LIMIT {instance} was ordered to load {model} beyond its memory'
        for instance, model in records.overfull
    )
    broken.extend(_find_close_orders(records.orders, thawed))
    touch = Troubles(troubles)
    broken.extend(find_late_requests(calls, records.arrivals, touch))
    broken.extend(find_work_for_nobody(calls, records.works, touch))
    return broken


def share_served(calls, begin):
    """Return the share of the calls sent after a moment that succeeded."""
    late = [call for call in calls if call.sent_at >= begin]
    served = sum(call.status == 200 and call.is_whole for call in late)
    return served / max(1, len(late))


def _find_doubled(calls, records):
    known = {call.request_id: call.kind for call in calls}
    for request_id, runs in records.runs.items():
        kind = known.get(request_id)
        if kind is None:
            yield f'UNASKED {request_id}'
        elif runs > 1 and not kind.may_repeat:
            yield f'TWICE {request_id} ran {runs} times'


def _check_success(call):
    stamp = call.headers.get('x-cassiarail-server-stamp', '')
    if not stamp.endswith(f'.{call.request_id}') and not call.kind.may_repeat:
        yield f'MIXED {call.request_id} has the stamp {stamp!r}'
    if not stamp:
        yield f'MIXED {call.request_id} has no stamp'
    if not call.kind.needs_model:
        if call.is_whole and call.body != call.request_id.encode():
            yield f'MIXED {call.request_id} got {call.body!r}'
        return
    events = _EVENT.findall(call.body)
    numbers = [int(number) for number, _name, _copy in events]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f'ORDER {call.request_id} got {numbers}'
    if any(name.decode() != call.request_id for _no, name, _copy in events):
        yield f'MIXED {call.request_id} got events of another request'
    if call.is_whole and len(numbers) != EVENTS:
        yield f'ORDER {call.request_id} ended after {len(numbers)} events'


def _find_close_orders(orders, thawed):
    last = {}
    fences = collections.defaultdict(set)
    for at, engine, machine, fence in orders:
        before = last.get(engine)
        fences[fence].add(machine)
        is_thawed = any(
            name == machine and 0 <= at - thaw < THAW_S for name, thaw in thawed
        )
        if before and before[1] != machine and not is_thawed:
            if at - before[0] < LEASE_S:
                yield f'ONE {engine}: {before[1]} and {machine} by turns'
            if fence <= before[2]:
                yield f'ONE {engine}: fence {fence} after {before[2]}'
        last[engine] = (at, machine, fence)
    for fence, machines in fences.items():
        if len(machines) > 1:
            yield f'ONE fence {fence} of {sorted(machines)}'
