"""Checks many random histories: ``make soak-claims EXAMPLES=20000``.

The search is first run on each faulty variant, to show which faults it can find, and
then on the protocol itself, which must pass.
"""

from __future__ import annotations

import sys
import time

from tests.claims.faulty import faulty_fleets
from tests.claims.model import ModelFleet, UncheckedRemovalFleet
from tests.claims.model_check import check_fleet

N_STEPS = 60
N_EXAMPLES = 20_000
N_FAULTY_EXAMPLES = 4_000


def find_variants() -> None:
    """Print for each faulty variant whether the random search finds a failure."""
    for name in faulty_fleets.names:
        started_s = time.monotonic()
        try:
            check_fleet(
                faulty_fleets.get(name), n_examples=N_FAULTY_EXAMPLES, n_steps=N_STEPS
            )
            verdict = "not found"
        except AssertionError:
            verdict = "found"
        print(f"{name}: {verdict} in {time.monotonic() - started_s:.0f} s", flush=True)


def main() -> None:
    """Check the faulty variants, then the protocol."""
    n_examples = int(sys.argv[1]) if len(sys.argv) > 1 else N_EXAMPLES
    find_variants()
    started_s = time.monotonic()
    for fleet_class in (ModelFleet, UncheckedRemovalFleet):
        check_fleet(fleet_class, n_examples=n_examples, n_steps=N_STEPS, is_random=True)
        spent_s = time.monotonic() - started_s
        print(f"{fleet_class.__name__}: {n_examples} histories, {spent_s:.0f} s so far")


if __name__ == "__main__":
    main()
