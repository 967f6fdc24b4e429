"""Cost models of an engine: one by the step, one by the scheduling pass."""

from __future__ import annotations

from quetzaldeck.engine_model.engine import EngineModel, Step
from quetzaldeck.engine_model.pass_model import Pass, PassModel
from quetzaldeck.engine_model.pass_work import PassWork
from quetzaldeck.engine_model.profile import EngineProfile
from quetzaldeck.engine_model.sequence import Sequence

__all__ = (
    "EngineModel",
    "EngineProfile",
    "Pass",
    "PassModel",
    "PassWork",
    "Sequence",
    "Step",
)
