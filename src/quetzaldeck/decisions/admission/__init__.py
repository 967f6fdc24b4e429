"""Admission policies, which decide whether a request is refused on arrival."""

from __future__ import annotations

from quetzaldeck.decisions.admission.api import AdmissionPolicy, admission_policies
from quetzaldeck.decisions.admission.bounds_only import BoundsOnly
from quetzaldeck.decisions.admission.predicted_wait import PredictedWait

__all__ = ("AdmissionPolicy", "BoundsOnly", "PredictedWait", "admission_policies")
