"""Fast start of ``quetzaldeck-entry``, for which callers wait after a power failure."""

from __future__ import annotations

import gc


def main() -> None:
    """Run the entry VM, with garbage collection disabled while modules are imported.

    Imports create many objects and free hardly any. Collecting garbage meanwhile would
    take a sixth of the processor time until the first request can be served.
    """
    gc.disable()
    from quetzaldeck.cli.entry import main as run_entry

    gc.freeze()
    gc.enable()
    run_entry()


if __name__ == "__main__":
    main()

__all__ = ("main",)
