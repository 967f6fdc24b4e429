"""The demo, end to end on loopback."""

from __future__ import annotations

import re
from pathlib import Path

import uvloop
from tests.ports import choose_port

from quetzaldeck.demo import load_demo_settings, run_demo

EXAMPLES = Path(__file__).parents[2] / "examples" / "demo"
EXAMPLE_PORT = re.compile(r"\b210\d\d\b")


def copy_with_free_ports(directory: Path) -> None:
    """Copy the example files with free ports: other processes may use the originals."""
    ports: dict[str, str] = {}

    def choose(match: re.Match[str]) -> str:
        if match.group() not in ports:
            ports[match.group()] = str(choose_port())
        return ports[match.group()]

    for path in EXAMPLES.glob("*.yaml"):
        text = EXAMPLE_PORT.sub(choose, path.read_text(encoding="utf-8"))
        (directory / path.name).write_text(text, encoding="utf-8")


def test_run_demo_answers_every_call(tmp_path: Path) -> None:
    copy_with_free_ports(tmp_path)
    settings = load_demo_settings(tmp_path)
    load = settings.load._replace(duration_ms=1_500)
    report = uvloop.run(run_demo(settings._replace(load=load)))
    assert report.is_clean
    assert set(report.verdicts) == {"answered"}
