"""Bundles: documents, checks, encoding and differences.

Signing and the store of signed bundles are imported from their own modules. Entry VMs
need neither, and the cryptography library would take much of their memory.
"""

from __future__ import annotations

from quetzaldeck.bundle.check import (
    MAX_ENVELOPE_BYTES,
    MAX_PAYLOAD_BYTES,
    check_bundle,
)
from quetzaldeck.bundle.codec import decode_bundle, encode_bundle
from quetzaldeck.bundle.diff import Change, diff_bundles
from quetzaldeck.bundle.document import (
    Bundle,
    CallPattern,
    CustomerLimits,
    CustomerSpec,
    ModelSpec,
    ServiceSpec,
    UpstreamSpec,
    Weights,
)

__all__ = (
    "MAX_ENVELOPE_BYTES",
    "MAX_PAYLOAD_BYTES",
    "Bundle",
    "CallPattern",
    "Change",
    "CustomerLimits",
    "CustomerSpec",
    "ModelSpec",
    "ServiceSpec",
    "UpstreamSpec",
    "Weights",
    "check_bundle",
    "decode_bundle",
    "diff_bundles",
    "encode_bundle",
)
