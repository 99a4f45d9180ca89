"""Define the interface of placement policies."""

import abc
import enum
from collections.abc import Mapping
from typing import NamedTuple


class HoldingKey(NamedTuple):
    """Name what a target holds: a model version, or one of its adapters."""

    model: str
    version: str
    adapter: str = ''


class ModelNeed(NamedTuple):
    """Describe a model to place; sizes are bytes over all accelerators.

    ``demand`` is the forecast load in concurrent requests, ``variance`` the
    variance of that forecast. ``adapters`` maps adapter names to bytes.
    ``seats`` are the targets on which the base replicas fit together with
    those of all other models.
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
    """Describe a target to place on.

    ``held`` are the keys that it holds or that are being loaded;
    ``capacity`` is the concurrent requests it serves at full speed.
    """

    name: str
    service: str
    data_centre: str
    memory_bytes: int
    capacity: float
    held: frozenset[HoldingKey] = frozenset()
    leaving: bool = False


class PlacementInput(NamedTuple):
    """Hold all that a policy may consider for one plan."""

    models: tuple[ModelNeed, ...]
    targets: tuple[TargetCapacity, ...]
    move_price: float


class MoveKind(enum.Enum):
    """Name the kinds of moves that are counted."""

    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    UNLOAD_ADAPTER = 'unload_adapter'
    SET_ROLE = 'set_role'


class Move(NamedTuple):
    """Describe one change at a target.

    A move with ``after`` may start only when those moves are done.
    """

    kind: MoveKind
    target: str
    key: HoldingKey
    bytes: int = 0
    after: tuple[HoldingKey, ...] = ()


class Plan(NamedTuple):
    """Hold the wanted holdings, the moves to get there and what didn't fit.

    ``unplaced`` maps a model's name to the reason in words.
    """

    holdings: Mapping[str, frozenset[HoldingKey]]
    moves: tuple[Move, ...]
    unplaced: Mapping[str, str]


class PlacementPolicy(abc.ABC):
    """Turn needs and room into a plan."""

    name: str

    @abc.abstractmethod
    def plan(self, situation: PlacementInput) -> Plan:
        """Return a plan that fits in the memory of every target."""
