"""Signals in the whole life of a process: SIGHUP never ends it, SIGTERM drains it."""

from __future__ import annotations

import ast
import asyncio
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
import uvloop
from tests.ports import LOOPBACK, choose_port
from tests.system.probes import wait_listening
from tests.system.processes import ProcessFleet
from tests.system.program_process import LAUNCHER, ProgramProcess

from quetzaldeck.launcher import PROGRAMS

ROOT = Path(__file__).parents[2]
SERVING_S = 0.3
INTERVAL_S = 0.001
WRITE_S = 0.9

LIST_IMPORTS = f"""
import _signal, os, sys
before = set(sys.modules)
def note(number, action):
    os.write(1, repr((number, action, sorted(set(sys.modules) - before))).encode())
    os._exit(0)
_signal.signal = note
sys.argv[1:] = ["entry"]
with open({str(LAUNCHER)!r}) as file:
    exec(file.read(), {{"__name__": "__main__"}})
"""


def test_launcher_imports_nothing_before_it_ignores_the_signal() -> None:
    """Guards against a window in which SIGHUP ends a process that imports modules."""
    command = [sys.executable, "-S", "-P", "-c", LIST_IMPORTS]
    done = subprocess.run(command, capture_output=True, check=True, text=True)
    assert ast.literal_eval(done.stdout) == (signal.SIGHUP, signal.SIG_IGN, [])


def test_deploy_file_starts_the_launcher_by_its_path() -> None:
    """Guards against ``-m``, which imports modules before the first statement."""
    deploy_file = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    words = deploy_file["roles"]["entry"]["run"].split(" ")
    built = str(LAUNCHER.relative_to(ROOT / "src"))
    assert words[1:] == ["-S", "-P", f"target/deps/{built}", "entry"]


async def hang_up_all_its_life(process: ProgramProcess) -> int:
    """Send SIGHUP each millisecond from the first statement until the process is gone.

    :returns: exit code after SIGTERM
    """

    async def hang_up() -> None:
        while process.is_running:
            process.send(signal.SIGHUP)
            await asyncio.sleep(INTERVAL_S)

    process.start()
    await process.wait_launched()
    signals = asyncio.create_task(hang_up())
    await wait_listening(process.address)
    await asyncio.sleep(SERVING_S)
    process.send(signal.SIGTERM)
    exit_code = await process.wait()
    await signals
    return exit_code


def build_entry(directory: Path) -> ProgramProcess:
    """:returns: an entry VM whose store is away"""
    listen = [f"{LOOPBACK}:{choose_port()}" for _ in range(3)]
    path = directory / "entry.yaml"
    path.write_text(
        f"vm: a\navailability_zone: z\nstore_address: {listen[2]}\n"
        f"listen: {{callers: '{listen[0]}', readiness: '{listen[1]}'}}\n"
        "bounds: {leaving_ms: 500, grace_s: 2}\n"
    )
    return ProgramProcess("entry", path, f"http://{listen[0]}")


@pytest.mark.parametrize("program", PROGRAMS)
def test_signals_at_any_time_end_no_program(tmp_path: Path, program: str) -> None:
    """Guards against SIGHUP that ends a process: as it starts, serves, stops, exits."""

    async def test() -> None:
        async with ProcessFleet(tmp_path) as fleet:
            vm = fleet.vms["entry-1"]
            processes = {
                "agent": vm.agent,
                "gateway": vm.gateway,
                "standin": fleet.platform,
                "entry": build_entry(tmp_path),
            }
            if program == "agent":
                vm.gateway.end()  # An agent stays as long as its gateway.
            processes[program].end()
            assert await hang_up_all_its_life(processes[program]) == 0

    uvloop.run(test())


@pytest.mark.parametrize("share", [None, 0.0, 0.4, 0.9])
def test_program_starts_while_its_settings_are_written(
    tmp_path: Path, share: float | None
) -> None:
    """Guards against a start that fails as its settings are missing or half written.

    ``share`` is how much of the file is there; it is complete a moment later.
    """

    async def test() -> None:
        process = build_entry(tmp_path)
        path = tmp_path / "entry.yaml"
        text = path.read_text()
        path.unlink()
        if share is not None:
            path.write_text(text[: int(share * len(text))])
        process.start()
        await process.wait_launched()
        process.send(signal.SIGHUP)
        await asyncio.sleep(WRITE_S)
        path.write_text(text)
        process.send(signal.SIGHUP)
        await wait_listening(process.address)
        process.send(signal.SIGTERM)
        assert await process.wait() == 0

    uvloop.run(test())


STOP_WHILE_STARTING = """
import os, signal
from quetzaldeck.cli.running import run_services
class Service:
    async def __aenter__(self):
        os.kill(os.getpid(), signal.SIGTERM)
    async def __aexit__(self, *exc): pass
    async def drain(self):
        print("drained")
        return 0
run_services(Service())
"""


def test_stop_while_services_start_drains_them() -> None:
    """Guards against SIGTERM that cuts off the first requests of a program."""
    command = [sys.executable, "-c", STOP_WHILE_STARTING]
    done = subprocess.run(command, capture_output=True, check=True, text=True)
    assert done.stdout == "drained\n"
