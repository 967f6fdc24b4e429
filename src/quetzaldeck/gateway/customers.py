"""Authenticates customers by their API keys."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    from quetzaldeck.bundle import Bundle, CustomerSpec

_SCHEME = "bearer "


def hash_key(api_key: str) -> str:
    """:returns: the SHA-256 of an API key, as stored in bundles"""
    return hashlib.sha256(api_key.encode("utf-8", "surrogateescape")).hexdigest()


class CustomerIndex:
    """Looks up customers by key in constant time.

    :param bundle: the bundle in force
    """

    def __init__(self, bundle: Bundle) -> None:
        self._by_hash = {
            key_hash: customer
            for customer in bundle.customers
            for key_hash in customer.key_hashes
        }

    def authenticate(self, authorization: str | None) -> CustomerSpec:
        """:returns: the customer with the API key of the ``Authorization`` header

        :raises RequestError: if there is no such customer
        """
        if authorization is None or not authorization.lower().startswith(_SCHEME):
            detail = "the header 'Authorization: Bearer <API key>' is required"
            raise RequestError(Failure(Reason.UNKNOWN_CUSTOMER, detail=detail))
        key_hash = hash_key(authorization[len(_SCHEME) :].strip())
        customer = self._by_hash.get(key_hash)
        if customer is None:
            raise RequestError(Failure(Reason.UNKNOWN_CUSTOMER))
        return customer


__all__ = ("CustomerIndex", "hash_key")
