"""Check the guarantees from the records of callers and targets."""

import collections
import re

from tests.soak.behaviour import EVENTS
from tests.soak.losses import LossCheck
from tests.soak.stability import (
    FaultPeriods,
    find_abandoned_work,
    find_late_requests,
    find_overlapping_runs,
    find_tainted_requests,
)

# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Least time between orders of two leaders to one engine, and the grace period
# after a suspended leader resumes.
LEASE_S = 3.0
RESUME_GRACE_S = 0.3
# At least this share of the requests after recovery from the last fault is
# served.
RECOVERED_SHARE = 0.25
_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)-(\d+)\n\n')


def find_violations(calls, records, resumed=(), fault_periods=(), plan=()):
    """Return a line for each violation of a guarantee.

    ``resumed`` holds pairs of a leader that was suspended and the time at
    which it resumed; ``fault_periods`` are those of hosts, engines and store;
    ``plan`` holds the planned work in its order.
    """
    violations = []
    violations.extend(_find_duplicate_runs(calls, records))
    for call in calls:
        ran = records.runs[call.request_id]
        if call.status in NOT_RUN_STATUSES and ran and not call.kind.may_repeat:
            violations.append(
                f'REFUSED {call.request_id} {call.status} though it ran'
            )
        if 200 <= call.status < 300:
            violations.extend(_check_success(call))
    violations.extend(
        f'LIMIT {instance} was ordered to load {model} beyond its memory'
        for instance, model in records.overcommitted
    )
    violations.extend(_find_concurrent_leaders(records.orders, resumed))
    faults = FaultPeriods(fault_periods)
    violations.extend(find_tainted_requests(calls, records, faults))
    violations.extend(find_late_requests(calls, records.arrivals, faults))
    violations.extend(find_abandoned_work(calls, records.executions, faults))
    violations.extend(find_overlapping_runs(calls, records.executions, faults))
    check = LossCheck(records, plan, faults)
    violations.extend(check.find_lost_requests(calls))
    return violations


def compute_served_share(calls, start):
    """Return the share of successful calls among those sent after a time."""
    later_calls = [call for call in calls if call.sent_at >= start]
    served = sum(
        call.status == 200 and call.is_complete for call in later_calls
    )
    return served / max(1, len(later_calls))


def _find_duplicate_runs(calls, records):
    kinds_by_id = {call.request_id: call.kind for call in calls}
    for request_id, runs in records.runs.items():
        kind = kinds_by_id.get(request_id)
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
        if call.is_complete and call.body != call.expected_body:
            yield f'MIXED {call.request_id} got {call.body!r}'
        return
    events = _EVENT.findall(call.body)
    numbers = [int(number) for number, _name, _suffix in events]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f'ORDER {call.request_id} got {numbers}'
    if any(name.decode() != call.request_id for _no, name, _suffix in events):
        yield f'MIXED {call.request_id} got events of another request'
    if call.is_complete and len(numbers) != EVENTS:
        yield f'ORDER {call.request_id} ended after {len(numbers)} events'


def _find_concurrent_leaders(orders, resumed):
    last = {}
    fences = collections.defaultdict(set)
    for received_at, engine, leader, fence in orders:
        previous = last.get(engine)
        fences[fence].add(leader)
        has_just_resumed = any(
            name == leader and 0 <= received_at - resumed_at < RESUME_GRACE_S
            for name, resumed_at in resumed
        )
        if previous and previous[1] != leader and not has_just_resumed:
            if received_at - previous[0] < LEASE_S:
                yield f'ONE {engine}: {previous[1]} and {leader} alternate'
            if fence <= previous[2]:
                yield f'ONE {engine}: fence {fence} after {previous[2]}'
        last[engine] = (received_at, leader, fence)
    for fence, leaders in fences.items():
        if len(leaders) > 1:
            yield f'ONE fence {fence} of {sorted(leaders)}'
