"""Fast start of an entry VM, for which callers wait after a power failure.

It takes the same settings as ``quetzaldeck-entry``, without the import of the library
for command lines.
"""

from __future__ import annotations

import gc
import os


def main() -> None:
    """Run the entry VM, with garbage collection disabled while modules are imported.

    Imports create many objects and free hardly any. Collecting garbage meanwhile would
    take a sixth of the processor time until the first request can be served.
    """
    gc.disable()
    from pathlib import Path

    from quetzaldeck.cli.certificates import no_default_certificates
    from quetzaldeck.early_listener import open_early_listener

    path = _read_settings_path()
    listener = open_early_listener(path)
    with no_default_certificates():
        from quetzaldeck.cli.entry_program import run_entry

    gc.freeze()
    gc.enable()
    run_entry(Path(path), listener)


def _read_settings_path() -> str:
    import argparse

    default = os.environ.get("QUETZALDECK_SETTINGS")
    parser = argparse.ArgumentParser("quetzaldeck-entry")
    parser.add_argument("--settings", default=default, required=default is None)
    path: str = parser.parse_args().settings
    return path


if __name__ == "__main__":
    main()

__all__ = ("main",)
