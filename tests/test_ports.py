"""Ports that test processes choose side by side."""

from __future__ import annotations

import os
import random
import socket
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest
from tests import ports
from tests.ports import choose_port, release_ports

if TYPE_CHECKING:
    from pathlib import Path

PRINT_SAME_PORT = (
    "import random, sys; from tests import ports;"
    "ports._RANDOM = random.Random(1);"
    "print(ports.choose_port(), flush=True); sys.stdin.read()"
)


def test_port_is_not_chosen_while_it_is_used_on_another_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against VMs of another test run that listen on 127.0.1.1 and so on."""
    monkeypatch.setattr(ports, "_RANDOM", random.Random(2))
    first = choose_port()
    ports._CHOSEN.remove(first)
    monkeypatch.setattr(ports, "_RANDOM", random.Random(2))
    with socket.create_server(("127.0.1.1", first)):
        assert choose_port() != first


def test_process_that_has_used_all_its_ports_chooses_them_again(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """Guards against tests that search for a free port until their timeout.

    Its few ports are in the part of another process, so neither the sockets nor the
    reservations of other processes count.
    """
    n_ports = 4
    last = ports.FIRST_PORT + n_ports * ports.MAX_WORKERS
    monkeypatch.setattr(ports, "LAST_PORT", last)
    monkeypatch.setattr(ports, "_is_free", lambda _port: True)
    with (tmp_path / "reservations").open("w") as file:
        monkeypatch.setattr(ports, "_open_reservations", file.fileno)
        _choose_all_ports_repeatedly(n_ports)


def _choose_all_ports_repeatedly(n_ports: int) -> None:
    for _ in range(2 * n_ports):
        with release_ports():
            choose_port()
    with release_ports():
        for _ in range(n_ports):
            choose_port()
        with pytest.raises(RuntimeError, match="is free"):
            choose_port()


def test_two_processes_choose_different_ports() -> None:
    """Guards against a fleet that takes a port before the VM of another listens on it.

    A VM that is stopped and started again listens on its port only for a part of the
    time.
    """
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", PRINT_SAME_PORT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )
        for _ in range(2)
    ]
    try:
        lines = [process.stdout.readline() for process in processes if process.stdout]
    finally:
        for process in processes:
            process.communicate()
    assert len({int(line) for line in lines}) == 2
