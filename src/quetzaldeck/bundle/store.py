"""The bundle in force on one VM: it never steps back."""

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
    """What became of an envelope that was offered."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    OLDER = "older"
    CONFLICT = "conflict"
    BAD_SIGNATURE = "bad_signature"
    BAD_BUNDLE = "bad_bundle"


def digest_payload(payload: str) -> int:
    """:returns: digest that names a payload between agents; no proof of anything"""
    return xxhash.xxh3_64_intdigest(payload.encode())


class BundleStore:
    """Holds the highest valid version seen; order of arrival plays no part.

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
        """:returns: its envelope, as it was signed"""
        return self._envelope

    @property
    def version(self) -> int:
        """:returns: the version in force; 0 if there is none"""
        return 0 if self._bundle is None else self._bundle.version

    @property
    def digest(self) -> int:
        """:returns: digest of the payload in force; 0 if there is none"""
        if self._envelope is None:
            return 0
        return digest_payload(self._envelope.payload)

    @property
    def detail(self) -> str:
        """:returns: why the last envelope offered did not come in force"""
        return self._detail

    def offer(self, envelope: Envelope) -> OfferResult:
        """Take an envelope from the configuration service or from a peer.

        :returns: whether it came in force, and if not, why
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
            self._detail = f"version {bundle.version} has two contents; the first stays"
            return OfferResult.CONFLICT
        self._bundle = bundle
        self._envelope = envelope
        return OfferResult.ACCEPTED


__all__ = ("BundleStore", "OfferResult", "digest_payload")
