"""Starts the long-running programs, which SIGHUP must not end.

By default the signal ends a process. It is ignored before anything is imported that the
interpreter has not loaded for itself; so deployments run this file by its path, with
``-P``, as ``-m`` imports more before the first statement::

    python3 -S -P PATH/quetzaldeck/launcher.py entry --settings FILE
"""

# The module "signal" would import "enum" and others first.
import _signal  # type: ignore[import-not-found]
import sys


def main() -> None:
    """Run the program that the first argument names, with the other arguments."""
    _ignore_hang_up()
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in PROGRAMS:
        sys.exit(f"program {name!r} is none of {', '.join(PROGRAMS)}")
    sys.argv[:2] = [f"quetzaldeck-{name}"]
    PROGRAMS[name]()


def run_agent() -> None:
    """Run ``quetzaldeck-agent``."""
    _ignore_hang_up()
    from quetzaldeck.cli.agent import main as run

    run()


def run_entry() -> None:
    """Run ``quetzaldeck-entry``."""
    _ignore_hang_up()
    from quetzaldeck.cli.start_entry import main as run

    run()


def run_gateway() -> None:
    """Run ``quetzaldeck-gateway``."""
    _ignore_hang_up()
    from quetzaldeck.cli.gateway import main as run

    run()


def run_standin() -> None:
    """Run ``quetzaldeck-standin``."""
    _ignore_hang_up()
    from quetzaldeck.cli.standin import main as run

    run()


PROGRAMS = {
    "agent": run_agent,
    "entry": run_entry,
    "gateway": run_gateway,
    "standin": run_standin,
}


def _ignore_hang_up() -> None:
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)


if __name__ == "__main__":
    main()

__all__ = ("PROGRAMS", "main", "run_agent", "run_entry", "run_gateway", "run_standin")
