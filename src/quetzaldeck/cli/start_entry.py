"""Fast start of an entry VM, for which callers wait after a power failure.

The path of the settings comes from ``QUETZALDECK_SETTINGS``; ``quetzaldeck-entry`` has
the command line.
"""

from __future__ import annotations

import gc
import os
import sys
from pathlib import Path

from quetzaldeck.cli.exit_codes import ExitCode
from quetzaldeck.early_listener import open_early_listener


def main() -> None:
    """Run the entry VM, with garbage collection disabled while modules are imported.

    Imports create many objects and free hardly any. Collecting garbage meanwhile would
    take a sixth of the processor time until the first request can be served.
    """
    gc.disable()
    path = os.environ.get("QUETZALDECK_SETTINGS")
    if not path:
        print('environment variable "QUETZALDECK_SETTINGS" is not set', file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    listener = open_early_listener(path)
    from quetzaldeck.cli.entry_program import run_entry

    gc.freeze()
    gc.enable()
    run_entry(Path(path), listener)


if __name__ == "__main__":
    main()

__all__ = ("main",)
