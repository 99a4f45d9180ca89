"""Define how stand-ins of engines behave, and record what they ran."""

import collections
from typing import NamedTuple

EVENTS = 6
MODELS = ('m0', 'm1', 'm2', 'm3')
MODELS_PER_ENGINE = 2
MODEL_GB = 70
# Parts with this beginning crash each engine that answers them.
DEADLY = 'dead'


class Behaviour(NamedTuple):
    """Describe how an engine runs requests.

    Requests beyond ``slots`` wait if the queue has room. The answers of sound
    engines are never lost, copied or replaced.
    """

    is_sound: bool = False
    slots: int = 8
    queue_length: int = 0
    long_share: float = 0.0
    preempted_share: float = 0.0


FAULTY = Behaviour()
SOUND = Behaviour(
    is_sound=True,
    slots=4,
    queue_length=8,
    long_share=0.3,
    preempted_share=0.08,
)


class Records:
    """Hold the executed requests and received orders of all engines."""

    def __init__(self):
        self.runs = collections.Counter()
        self.services = {}
        self.orders = []
        self.overcommitted = []
        self.arrivals = []
        self.executions = []
        self.tainted = []
        self.faults = collections.Counter()
        self.crashes = collections.defaultdict(list)
        # Which engines received a request, when they worked on it, and the
        # requests that they broke off.
        self.receivers = collections.defaultdict(set)
        self.work = collections.defaultdict(list)
        self.broken_off = set()


def make_events(request_id):
    """Return the events of a stream."""
    return [
        f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()
        for number in range(1, EVENTS + 1)
    ]


def find_deadly_part(headers):
    """Return the part of a prompt that crashes engines, if any."""
    parts = headers.get('x-cassiarail-prompt-prefix', '').split(',')
    names = (part.partition(':')[0] for part in parts)
    return next((name for name in names if name.startswith(DEADLY)), None)
