"""Orders to the stand-in engine, with or without a check of fencing numbers."""

from __future__ import annotations

import enum

import msgspec


class OrderKind(enum.Enum):
    """What an engine can be told to do."""

    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    UNLOAD_ADAPTER = 'unload_adapter'
    SET_VERSION = 'set_version'
    SET_ROLE = 'set_role'


class Order(msgspec.Struct, frozen=True):
    """One order.

    Attributes:
        fencing: Fencing number of whoever gives it.
        kind: What to do.
        name: The model, adapter, version or role.
    """

    fencing: int
    kind: OrderKind
    name: str


class EngineState(msgspec.Struct):
    """What an engine has loaded.

    Attributes:
        models: Models.
        adapters: Adapters.
        version: Version of the engine's software.
        role: Its role.
        fencing: Highest fencing number seen.
        carried_out: Every order carried out, oldest first.
    """

    models: list[str]
    adapters: list[str] = []
    version: str = '1'
    role: str = 'mixed'
    fencing: int = 0
    carried_out: list[Order] = []


def apply_order(
    held: EngineState, order: Order, *, checks_fencing: bool
) -> bool:
    """Carry out an order; return whether it was accepted.

    Args:
        held: What the engine has loaded; changed.
        order: The order.
        checks_fencing: Whether an old fencing number is refused.
    """
    if checks_fencing and order.fencing < held.fencing:
        return False
    held.fencing = max(held.fencing, order.fencing)
    held.carried_out = [*held.carried_out, order]
    match order.kind:
        case OrderKind.LOAD_MODEL:
            held.models = sorted({*held.models, order.name})
        case OrderKind.UNLOAD_MODEL:
            held.models = [name for name in held.models if name != order.name]
        case OrderKind.LOAD_ADAPTER:
            held.adapters = sorted({*held.adapters, order.name})
        case OrderKind.UNLOAD_ADAPTER:
            held.adapters = [
                name for name in held.adapters if name != order.name
            ]
        case OrderKind.SET_VERSION:
            held.version = order.name
        case OrderKind.SET_ROLE:
            held.role = order.name
    return True
