"""Header fields between the two VMs of a request that is handed over."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from multidict import CIMultiDict

from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    from collections.abc import Mapping

    from multidict import CIMultiDictProxy

VERSION = "Handover-Version"
N_ATTEMPTS = "Handover-Attempts"
SERVICE = "Handover-Service"
AGE = "Handover-Age"
FAILURE = "Handover-Failure"
"""Present if the response is the failure of the other VM, not that of an upstream."""

MAX_HANDOVER_BYTES = 1_024
"""What the fields add to the head of a caller at most."""

_FIELDS = (VERSION, N_ATTEMPTS, SERVICE, AGE, FAILURE)


class HandoverHead(NamedTuple):
    """What the sending VM states of a request that it hands over.

    :param version: version of the configuration under which it was admitted
    :param n_attempts: attempts that may have run
    :param service: the service chosen for it; ``""``: not stated
    :param age_ms: time since it arrived at the sending VM
    """

    version: int
    n_attempts: int
    service: str = ""
    age_ms: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """:returns: whether an upstream may have run the request"""
        return self.n_attempts > 0

    def build_headers(self) -> dict[str, str]:
        """:returns: the header fields"""
        return {
            VERSION: str(self.version),
            N_ATTEMPTS: str(self.n_attempts),
            SERVICE: self.service,
            # Rounded down: a request must not seem to have come earlier than it did.
            AGE: str(math.floor(self.age_ms)),
        }


def read_handover_head(headers: Mapping[str, str]) -> HandoverHead:
    """Parse the fields of a request that was handed over.

    VMs of an earlier release state neither the service nor the age.

    :raises ValueError: if another field is missing, or one is not a number
    """
    return HandoverHead(
        int(headers.get(VERSION, "")),
        int(headers.get(N_ATTEMPTS, "")),
        headers.get(SERVICE, ""),
        float(headers.get(AGE, "0")),
    )


def remove_handover_fields(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """:returns: the headers of the caller, without those between the VMs"""
    copied = CIMultiDict(headers)
    for name in _FIELDS:
        copied.popall(name, None)
    return copied


def format_failure(failure: Failure) -> str:
    """:returns: the value of :data:`FAILURE`"""
    retry_after_ms = failure.effective_retry_after_ms
    retry_text = "" if retry_after_ms is None else f"{retry_after_ms:.0f}"
    return f"{failure.reason.value};{failure.ran.value};{retry_text}"


def read_failure(headers: Mapping[str, str], peer: str) -> Failure | None:
    """:returns: the failure of the other VM; ``None``: an upstream has answered

    :raises ValueError: if the field is not valid
    """
    text = headers.get(FAILURE)
    if text is None:
        return None
    reason, ran, retry_text = text.split(";")
    retry_after_ms = float(retry_text) if retry_text else None
    detail = f"handed over to {peer}, which answered {reason}"
    return Failure(Reason(reason), Ran(ran), retry_after_ms, detail)


__all__ = (
    "FAILURE",
    "HandoverHead",
    "format_failure",
    "read_failure",
    "read_handover_head",
    "remove_handover_fields",
)
