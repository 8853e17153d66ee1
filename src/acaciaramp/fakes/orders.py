"""Control commands of the fake engine, with optional fencing."""

from __future__ import annotations

import enum

import msgspec


class OrderKind(enum.Enum):
    """Kind of a control command."""

    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    UNLOAD_ADAPTER = 'unload_adapter'
    SET_VERSION = 'set_version'
    SET_ROLE = 'set_role'


class Order(msgspec.Struct, frozen=True):
    """A control command.

    Attributes:
        fencing: Fencing token of the sender.
        kind: Kind of the command.
        name: Name of the model, adapter, version or role.
    """

    fencing: int
    kind: OrderKind
    name: str


class EngineState(msgspec.Struct):
    """State of an engine that control commands change.

    Attributes:
        models: Names of the loaded models.
        adapters: Names of the loaded adapters.
        version: Version of the engine's software.
        role: Role of the engine.
        fencing: Highest fencing token seen.
        carried_out: Every applied command, oldest first.
    """

    models: list[str]
    adapters: list[str] = []
    version: str = '1'
    role: str = 'mixed'
    fencing: int = 0
    carried_out: list[Order] = []


def apply_order(
    state: EngineState, order: Order, *, checks_fencing: bool
) -> bool:
    """Apply a control command; return whether it was accepted.

    Args:
        state: State of the engine; updated in place.
        order: The command.
        checks_fencing: Whether a fencing token below the highest one seen is
            rejected.
    """
    if checks_fencing and order.fencing < state.fencing:
        return False
    state.fencing = max(state.fencing, order.fencing)
    state.carried_out = [*state.carried_out, order]
    match order.kind:
        case OrderKind.LOAD_MODEL:
            state.models = sorted({*state.models, order.name})
        case OrderKind.UNLOAD_MODEL:
            state.models = [name for name in state.models if name != order.name]
        case OrderKind.LOAD_ADAPTER:
            state.adapters = sorted({*state.adapters, order.name})
        case OrderKind.UNLOAD_ADAPTER:
            state.adapters = [
                name for name in state.adapters if name != order.name
            ]
        case OrderKind.SET_VERSION:
            state.version = order.name
        case OrderKind.SET_ROLE:
            state.role = order.name
    return True
