"""The complete list of reasons for refusals and failures."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Reason(StrEnum):
    """Why a request was refused or failed; each value has its own counter."""

    MALFORMED_REQUEST = "malformed_request"
    NOT_FOUND = "not_found"
    UNKNOWN_CUSTOMER = "unknown_customer"
    UNKNOWN_MODEL = "unknown_model"
    BODY_TOO_LARGE = "body_too_large"
    SLOW_SENDER = "slow_sender"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_CONFLICT = "idempotency_key_conflict"
    KEY_IN_PROGRESS = "idempotency_key_in_progress"
    KEY_FINISHED = "idempotency_key_finished"
    NO_QUORUM = "no_quorum"
    NO_BUNDLE = "no_bundle"
    BUNDLE_EXPIRED = "bundle_expired"
    PROMPT_TOO_LARGE = "prompt_too_large"
    QUEUE_FULL = "queue_full"
    CUSTOMER_QUEUE_FULL = "customer_queue_full"
    CUSTOMER_LIMIT = "customer_limit"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_UPSTREAM = "no_upstream"
    NO_PATH = "no_path"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_SILENT = "upstream_silent"
    UPSTREAM_RATE_LIMITED = "upstream_rate_limited"
    UPSTREAM_RESTING = "upstream_resting"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    POISON_SUSPECTED = "poison_suspected"
    SHUTTING_DOWN = "shutting_down"
    CALLER_GONE = "caller_gone"
    INTERNAL_ERROR = "internal_error"


class ReasonInfo(NamedTuple):
    """What callers and operators see of a reason.

    :param http_status: HTTP status of the response
    :param error_type: value of ``error.type`` in the JSON body
    :param description: message for the caller if the failure has no detail
    :param retry_after_ms: time after which to retry, if the failure sets none itself;
        ``None``: the same request would fail again
    """

    http_status: int
    error_type: str
    description: str
    retry_after_ms: float | None = None


DEFAULT_RETRY_AFTER_MS = 1_000.0
"""Long enough for a failed upstream to be excluded from placement, short enough for a
caller to wait."""

_CLIENT = "invalid_request_error"
_CAPACITY = "capacity_error"
_UPSTREAM = "upstream_error"
_SERVER = "server_error"

REASON_INFO: dict[Reason, ReasonInfo] = {
    Reason.MALFORMED_REQUEST: ReasonInfo(400, _CLIENT, "the request cannot be parsed"),
    Reason.NOT_FOUND: ReasonInfo(404, _CLIENT, "no route serves this path"),
    Reason.UNKNOWN_CUSTOMER: ReasonInfo(401, _CLIENT, "no customer has this API key"),
    Reason.UNKNOWN_MODEL: ReasonInfo(
        404, _CLIENT, "this customer has no such model or adapter"
    ),
    Reason.BODY_TOO_LARGE: ReasonInfo(413, _CLIENT, "the body exceeds the size limit"),
    Reason.SLOW_SENDER: ReasonInfo(
        408, _CLIENT, "the body was not received in time", DEFAULT_RETRY_AFTER_MS
    ),
    Reason.KEY_REQUIRED: ReasonInfo(
        400, _CLIENT, "a call that may not be repeated needs an Idempotency-Key"
    ),
    Reason.KEY_CONFLICT: ReasonInfo(
        409, _CLIENT, "the idempotency key was used with another body"
    ),
    Reason.KEY_IN_PROGRESS: ReasonInfo(
        409,
        _CAPACITY,
        "another VM runs the call with this idempotency key",
        DEFAULT_RETRY_AFTER_MS,
    ),
    Reason.KEY_FINISHED: ReasonInfo(
        409, _CAPACITY, "the call ran before and its answer is no longer stored"
    ),
    Reason.NO_QUORUM: ReasonInfo(
        503,
        _CAPACITY,
        "too few VMs could confirm that the call has not run",
        DEFAULT_RETRY_AFTER_MS,
    ),
    Reason.NO_BUNDLE: ReasonInfo(
        503, _SERVER, "no bundle is in force on this VM yet", DEFAULT_RETRY_AFTER_MS
    ),
    Reason.BUNDLE_EXPIRED: ReasonInfo(
        503, _SERVER, "the bundle has expired", DEFAULT_RETRY_AFTER_MS
    ),
    Reason.PROMPT_TOO_LARGE: ReasonInfo(
        413, _CLIENT, "the prompt does not fit on any engine or group of engines"
    ),
    Reason.QUEUE_FULL: ReasonInfo(
        503, _CAPACITY, "the queue of this VM is full", DEFAULT_RETRY_AFTER_MS
    ),
    Reason.CUSTOMER_QUEUE_FULL: ReasonInfo(
        429,
        _CAPACITY,
        "this customer's share of the queue is full",
        DEFAULT_RETRY_AFTER_MS,
    ),
    Reason.CUSTOMER_LIMIT: ReasonInfo(
        429,
        _CAPACITY,
        "this customer has reached its limit in the bundle",
        DEFAULT_RETRY_AFTER_MS,
    ),
    Reason.DEADLINE_UNREACHABLE: ReasonInfo(
        503,
        _CAPACITY,
        "the predicted wait is longer than the deadline",
        DEFAULT_RETRY_AFTER_MS,
    ),
    Reason.DEADLINE_EXCEEDED: ReasonInfo(
        504, _CAPACITY, "the deadline has passed", DEFAULT_RETRY_AFTER_MS
    ),
    Reason.NO_UPSTREAM: ReasonInfo(
        503, _UPSTREAM, "no upstream can accept the request", DEFAULT_RETRY_AFTER_MS
    ),
    Reason.NO_PATH: ReasonInfo(
        503,
        _UPSTREAM,
        "this VM reaches no upstream that could serve the request",
        DEFAULT_RETRY_AFTER_MS,
    ),
    Reason.UPSTREAM_FAILED: ReasonInfo(
        502, _UPSTREAM, "the upstream failed", DEFAULT_RETRY_AFTER_MS
    ),
    Reason.UPSTREAM_SILENT: ReasonInfo(
        504, _UPSTREAM, "the upstream stopped responding", DEFAULT_RETRY_AFTER_MS
    ),
    Reason.UPSTREAM_RATE_LIMITED: ReasonInfo(
        503,
        _CAPACITY,
        "the upstreams take no more requests in the time left",
        DEFAULT_RETRY_AFTER_MS,
    ),
    Reason.UPSTREAM_RESTING: ReasonInfo(
        503,
        _CAPACITY,
        "the upstreams turn requests away until after the time left",
        DEFAULT_RETRY_AFTER_MS,
    ),
    Reason.RETRY_BUDGET_SPENT: ReasonInfo(
        503,
        _UPSTREAM,
        "the upstream failed and the retry budget is spent",
        DEFAULT_RETRY_AFTER_MS,
    ),
    Reason.POISON_SUSPECTED: ReasonInfo(
        422, _UPSTREAM, "upstreams that ran this request crashed"
    ),
    Reason.SHUTTING_DOWN: ReasonInfo(
        503, _SERVER, "this VM is shutting down", DEFAULT_RETRY_AFTER_MS
    ),
    Reason.CALLER_GONE: ReasonInfo(499, _CLIENT, "the caller closed the connection"),
    Reason.INTERNAL_ERROR: ReasonInfo(500, _SERVER, "internal error of the gateway"),
}

__all__ = ("REASON_INFO", "Reason", "ReasonInfo")
