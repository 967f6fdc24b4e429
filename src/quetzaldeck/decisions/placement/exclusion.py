"""Why an upstream does not get a request."""

from __future__ import annotations

from enum import StrEnum


class Exclusion(StrEnum):
    """The filter of a placement that excludes an upstream.

    ``PROMPT_PARTS`` excludes an engine from a group that prefills as many parts of
    prompts as it has slots, or has refused one.
    """

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    RESTING = "resting"
    EJECTED = "ejected"
    COLD = "cold"
    RATE_LIMITED = "rate_limited"
    SLOTS = "slots"
    MEMORY = "memory"
    NOT_SAMPLED = "not_sampled"
    FAILING = "failing"
    SLOW = "slow"
    REFUSING = "refusing"
    PROMPT_PARTS = "prompt_parts"
    HEAD_OF_LINE = "head_of_line"


__all__ = ("Exclusion",)
