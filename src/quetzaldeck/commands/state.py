"""Goals of engines, derived from the bundle, and the state that they report."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from quetzaldeck.bundle.document import Bundle, ModelSpec, UpstreamSpec

SEPARATOR = ":"


class LoadedModel(NamedTuple):
    """Weights of a model or adapter that are loaded on an engine.

    :param adapter: name of the adapter; ``""`` for the model itself
    """

    model: str
    version: str
    adapter: str = ""


class EngineGoal(NamedTuple):
    """State that the bundle requires of one engine.

    :param loaded: weights that it should have, and no others
    :param role: role that it should have; ``""`` if any will do
    :param checks_fencing: whether it refuses orders with outdated fencing tokens
    """

    engine: str
    loaded: frozenset[LoadedModel]
    role: str
    checks_fencing: bool


class EngineStatus(NamedTuple):
    """State that an engine reported.

    :param incarnation: incarnation of the engine
    :param age_ms: age of the report
    """

    engine: str
    incarnation: str
    loaded: frozenset[LoadedModel]
    role: str
    age_ms: float

    def serves(self, model: str) -> bool:
        """:returns: whether any version of ``model`` is loaded"""
        return any(loaded.model == model for loaded in self.loaded)


def parse_loaded(names: tuple[str, ...]) -> frozenset[LoadedModel]:
    """:returns: the weights named ``model:version`` or ``model:version:adapter``

    Names of other forms are left out, since no command can refer to them.
    """
    parts = (tuple(name.split(SEPARATOR)) for name in names)
    return frozenset(LoadedModel(*part) for part in parts if len(part) in (2, 3))


def derive_goals(bundle: Bundle) -> dict[str, EngineGoal]:
    """:returns: the goal of each engine in ``bundle``, by the engine's name

    The goals depend on the bundle alone, so two commanders with the same bundle agree
    on the goal of an engine even if their views of the fleet differ.
    """
    versions = {model.name: model for model in bundle.models}
    return {
        spec.name: _derive_goal(spec, versions)
        for spec in bundle.upstreams
        if spec.kind == "engine"
    }


def _derive_goal(spec: UpstreamSpec, versions: dict[str, ModelSpec]) -> EngineGoal:
    loaded = set()
    for name in spec.models:
        model = versions.get(name)
        if model is None:
            continue
        loaded.add(LoadedModel(name, model.version))
        loaded |= {LoadedModel(name, model.version, a) for a in model.adapters}
    return EngineGoal(spec.name, frozenset(loaded), spec.role, spec.checks_fencing)


__all__ = (
    "EngineGoal",
    "EngineStatus",
    "LoadedModel",
    "derive_goals",
    "parse_loaded",
)
