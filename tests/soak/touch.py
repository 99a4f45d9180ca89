"""Check promises that bind only hosts and engines without trouble."""

from typing import NamedTuple

# The platform's figures for its small deployments, in seconds: a host is in
# touch if it had no trouble for STABLE_S, and a target that says that it leaves
# gets no requests after DRAIN_S.
STABLE_S = 3.0
DRAIN_S = 2.0
# Work for a client that has left ends within this.
WITHDRAWN_S = 0.5
# At most this share of the work that would have lasted longer may go on.
WITHDRAWN_SHARE = 0.25
FEW = 3
STORE = 'store'


class Trouble(NamedTuple):
    """Hold when a host, an engine or the store was disturbed."""

    subject: str
    begun_at: float
    ended_at: float


class Arrival(NamedTuple):
    """Record a request that reached an engine after it had left."""

    request_id: str
    engine: str
    left_at: float
    at: float


class Work(NamedTuple):
    """Record a run, and when it would have ended by itself."""

    request_id: str
    engine: str
    begun_at: float
    ended_at: float
    would_end_at: float


class Troubles:
    """Tell who was in touch when."""

    def __init__(self, troubles):
        self._troubles = troubles

    def spare(self, subjects, begin, end):
        """Tell whether none of the subjects had trouble around a span."""
        return not any(
            trouble.subject in subjects
            and trouble.begun_at <= end
            and trouble.ended_at >= begin - STABLE_S
            for trouble in self._troubles
        )


def find_late_requests(calls, arrivals, troubles):
    """Return a line for each request that reached an engine too late."""
    known = {call.request_id: call for call in calls}
    for arrival in arrivals:
        late_s = arrival.at - arrival.left_at
        call = known.get(arrival.request_id)
        if call is None or late_s <= DRAIN_S:
            continue
        subjects = {call.host, arrival.engine, STORE}
        if troubles.spare(subjects, arrival.left_at, arrival.at):
            yield (
                f'DRAIN {arrival.request_id} reached {arrival.engine} '
                f'{late_s:.2f} s after it had left, sent by {call.host}'
            )


def find_work_for_nobody(calls, works, troubles):
    """Return a line if much work went on after the clients had left."""
    left = {
        call.request_id: call
        for call in calls
        if call.has_left and (call.kind.may_repeat or call.kind.needs_model)
    }
    lasting, going_on = [], []
    for work in works:
        call = left.get(work.request_id)
        if call is None:
            continue
        limit = call.ended_at + WITHDRAWN_S
        subjects = {call.host, work.engine}
        if work.would_end_at <= limit or work.begun_at > limit:
            continue
        if not troubles.spare(subjects, call.ended_at, limit):
            continue
        lasting.append(work)
        if work.ended_at > limit:
            going_on.append(work)
    if len(going_on) > max(FEW, WITHDRAWN_SHARE * len(lasting)):
        yield (
            f'GONE {len(going_on)} of {len(lasting)} runs went on after their '
            f'clients had left, first {going_on[0].request_id}'
        )
