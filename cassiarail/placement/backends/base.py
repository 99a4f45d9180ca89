"""Define the interface of placement policies."""

import abc
import enum
from collections.abc import Mapping
from typing import NamedTuple


class HoldingKey(NamedTuple):
    """Identify what a target holds: a model version or one of its adapters."""

    model: str
    version: str
    adapter: str = ''


class ModelNeed(NamedTuple):
    """Describe a model to place; sizes are bytes over all accelerators.

    ``demand`` is the forecast load in concurrent requests, ``variance`` the
    variance of that forecast. ``adapters`` maps adapter names to bytes.
    ``base_assignments`` are the targets on which the base replicas fit
    together with those of all other models.
    """

    key: HoldingKey
    service: str
    bytes: int
    kv_reserve_bytes: int
    demand: float
    variance: float
    adapters: Mapping[str, int]
    replicas_min: int = 1
    replicas_max: int = 64
    data_centres: int = 2
    pinned_targets: frozenset[str] = frozenset()
    forbidden_targets: frozenset[str] = frozenset()
    base_assignments: tuple[str, ...] = ()


class TargetCapacity(NamedTuple):
    """Describe a target that models can be placed on.

    ``held`` are the keys that it holds or is loading; ``capacity`` is the
    number of concurrent requests that it serves at full speed.
    """

    name: str
    service: str
    data_centre: str
    memory_bytes: int
    capacity: float
    held: frozenset[HoldingKey] = frozenset()
    leaving: bool = False


class PlacementInput(NamedTuple):
    """Hold the input of one plan."""

    models: tuple[ModelNeed, ...]
    targets: tuple[TargetCapacity, ...]
    move_price: float


class MoveKind(enum.Enum):
    """List the kinds of moves."""

    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    UNLOAD_ADAPTER = 'unload_adapter'
    SET_ROLE = 'set_role'


class Move(NamedTuple):
    """Describe one change at a target.

    A move starts only after the moves of the keys in ``after`` are done.
    """

    kind: MoveKind
    target: str
    key: HoldingKey
    bytes: int = 0
    after: tuple[HoldingKey, ...] = ()


class Plan(NamedTuple):
    """Hold the planned holdings, the moves to reach them and what didn't fit.

    ``unplaced`` maps the names of models that didn't fit to the reason.
    """

    holdings: Mapping[str, frozenset[HoldingKey]]
    moves: tuple[Move, ...]
    unplaced: Mapping[str, str]


class PlacementPolicy(abc.ABC):
    """Plan which targets hold which models."""

    name: str

    @abc.abstractmethod
    def plan(self, placement_input: PlacementInput) -> Plan:
        """Return a plan that fits in the memory of every target."""
