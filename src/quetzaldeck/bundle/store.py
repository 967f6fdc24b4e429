"""The bundle in force on one VM; its version never decreases."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import xxhash

from quetzaldeck.bundle.signing import SignatureError, verify_envelope
from quetzaldeck.config.finding import FindingsError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzaldeck.bundle.document import Bundle
    from quetzaldeck.bundle.signing import Envelope


class OfferResult(StrEnum):
    """Result of offering an envelope to the store."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    OLDER = "older"
    CONFLICT = "conflict"
    BAD_SIGNATURE = "bad_signature"
    BAD_BUNDLE = "bad_bundle"


def digest_payload(payload: str) -> int:
    """:returns: digest by which agents identify a payload; not cryptographic"""
    return xxhash.xxh3_64_intdigest(payload.encode())


class BundleStore:
    """Holds the highest valid version offered, whatever the order of arrival.

    :param public_keys: trusted public keys (base64) by key id
    """

    def __init__(self, public_keys: Mapping[str, str]) -> None:
        self._public_keys = dict(public_keys)
        self._envelope: Envelope | None = None
        self._bundle: Bundle | None = None
        self._detail = ""

    @property
    def bundle(self) -> Bundle | None:
        """:returns: the bundle in force, if any"""
        return self._bundle

    @property
    def envelope(self) -> Envelope | None:
        """:returns: the envelope of the bundle in force, if any"""
        return self._envelope

    @property
    def version(self) -> int:
        """:returns: version of the bundle in force; 0 if there is none"""
        return 0 if self._bundle is None else self._bundle.version

    @property
    def digest(self) -> int:
        """:returns: digest of the payload of the bundle in force; 0 if there is none"""
        if self._envelope is None:
            return 0
        return digest_payload(self._envelope.payload)

    @property
    def detail(self) -> str:
        """:returns: why the last rejected envelope did not take effect"""
        return self._detail

    def offer(self, envelope: Envelope) -> OfferResult:
        """Verify an envelope and put its bundle in force if its version is higher.

        :param envelope: read from the configuration service or from a peer
        :returns: whether the bundle took effect, and if not, why
        """
        if self._envelope is not None and envelope.payload == self._envelope.payload:
            return OfferResult.KNOWN
        try:
            bundle = verify_envelope(envelope, self._public_keys)
        except SignatureError as error:
            self._detail = str(error)
            return OfferResult.BAD_SIGNATURE
        except FindingsError as error:
            self._detail = "; ".join(finding.render() for finding in error.findings)
            return OfferResult.BAD_BUNDLE
        if bundle.version < self.version:
            return OfferResult.OLDER
        if bundle.version == self.version:
            self._detail = (
                f"version {bundle.version} has two contents; the first one is kept"
            )
            return OfferResult.CONFLICT
        self._bundle = bundle
        self._envelope = envelope
        return OfferResult.ACCEPTED


__all__ = ("BundleStore", "OfferResult", "digest_payload")
