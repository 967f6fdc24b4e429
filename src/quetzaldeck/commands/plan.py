"""Plans the next change that brings an engine closer to its goal. No I/O.

New weights are loaded next to the old ones, which serve until the new ones can, and
are unloaded only then. So a roll-out makes no replica unavailable. An engine
that lacks the memory for both refuses the load; its old weights are then unloaded
first, provided that another engine serves the model meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.commands.order import Action, Change

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from quetzaldeck.commands.state import EngineGoal, EngineStatus, LoadedModel


def plan_change(
    goal: EngineGoal, status: EngineStatus, *, has_capacity: bool = True
) -> Change | None:
    """:returns: the next change, ``None`` if the engine has reached its goal

    :param has_capacity: ``False`` after the engine lacked the memory for a load
    """
    missing = sorted(goal.loaded - status.loaded)
    surplus = _find_surplus(goal, status)
    if missing and not has_capacity and surplus:
        return _unload(surplus[0])
    for loaded in missing:
        if not loaded.adapter:
            return Change(Action.LOAD_MODEL, loaded.model, loaded.version)
    for loaded in missing:
        return Change(Action.LOAD_ADAPTER, loaded.model, loaded.version, loaded.adapter)
    if surplus:
        return _unload(surplus[0])
    if goal.role and goal.role != status.role:
        return Change(Action.CHANGE_ROLE, role=goal.role)
    return None


def is_done(change: Change, status: EngineStatus) -> bool:
    """:returns: whether an engine's report shows the effect of ``change``"""
    if change.action is Action.CHANGE_ROLE:
        return status.role == change.role
    is_loaded = (change.model, change.version, change.adapter) in status.loaded
    return is_loaded is not (change.action is Action.UNLOAD_MODEL)


def list_lost_models(
    change: Change, goal: EngineGoal, status: EngineStatus
) -> tuple[str, ...]:
    """:returns: models that the engine no longer serves once ``change`` is done"""
    if change.action is Action.UNLOAD_MODEL:
        loaded_versions = {
            loaded.version
            for loaded in status.loaded
            if loaded.model == change.model and not loaded.adapter
        }
        return () if loaded_versions - {change.version} else (change.model,)
    if change.action is Action.CHANGE_ROLE:
        return tuple(sorted({loaded.model for loaded in status.loaded}))
    return ()


def find_unsafe_models(
    models: Collection[str],
    engine: str,
    goals: Mapping[str, EngineGoal],
    statuses: Collection[EngineStatus],
) -> tuple[str, ...]:
    """:returns: those of ``models`` that ``engine`` must not stop serving now

    Otherwise two commanders, each seeing the other one's engine serve, could unload
    the last two replicas of a model at the same moment. Slots make that unlikely;
    this check prevents it for commanders with the same bundle, whatever members they
    see:

    * an engine that has reached its goal for the model gets no orders and keeps
      serving, so while there is one, the other engines may stop;
    * until then every engine but the first by name may stop, provided that the first
      one serves.

    :param statuses: reports read just before the order is sent
    """
    return tuple(
        model
        for model in models
        if not _may_stop_serving(model, engine, goals, statuses)
    )


def _may_stop_serving(
    model: str,
    engine: str,
    goals: Mapping[str, EngineGoal],
    statuses: Collection[EngineStatus],
) -> bool:
    serving = {s.engine: s for s in statuses if s.engine != engine and s.serves(model)}
    if any(
        name in goals and _has_reached_goal(model, goals[name], status)
        for name, status in serving.items()
    ):
        return True
    designated = [name for name, goal in goals.items() if _should_serve(model, goal)]
    first = min(designated, default=engine)
    return first != engine and first in serving


def _should_serve(model: str, goal: EngineGoal) -> bool:
    return any(loaded.model == model for loaded in goal.loaded)


def _has_reached_goal(model: str, goal: EngineGoal, status: EngineStatus) -> bool:
    """:returns: whether the engine has its role and all weights of ``model``"""
    required = {loaded for loaded in goal.loaded if loaded.model == model}
    has_role = not goal.role or goal.role == status.role
    return bool(required) and required <= status.loaded and has_role


def _find_surplus(goal: EngineGoal, status: EngineStatus) -> list[LoadedModel]:
    """:returns: models to unload; unloading one also unloads its adapters"""
    required = {(loaded.model, loaded.version) for loaded in goal.loaded}
    return sorted(
        loaded
        for loaded in status.loaded
        if not loaded.adapter and (loaded.model, loaded.version) not in required
    )


def _unload(loaded: LoadedModel) -> Change:
    return Change(Action.UNLOAD_MODEL, loaded.model, loaded.version)


__all__ = ("find_unsafe_models", "is_done", "list_lost_models", "plan_change")
