"""Stand-ins for the cases 6 to 10: the store, replicas, VMs as processes, clients.

It needs nothing but the standard library. The programs are started with the command and
the template of deploy/system.toml, on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PLACEHOLDER = re.compile(r"\{\{([#^/]?)\s*([\w.@]+)(\|json)?\s*\}\}")
HELD, BROKEN, NOT_RUN = 0, 1, 2


def now_ms() -> float:
    return time.monotonic() * 1_000


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_ms = now_ms()

    def note(self, text: str) -> None:
        self._file.write(f"{(now_ms() - self._start_ms) / 1_000:8.3f} s  {text}\n")
        self._file.flush()


# --- settings ------------------------------------------------------------------------


def find_value(fields: object, path: str) -> object:
    for part in path.split("."):
        if isinstance(fields, dict):
            fields = fields.get(part)
        elif isinstance(fields, list) and part.isdecimal():
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            return None
    return fields


def render(template: str, fields: dict[str, object]) -> str:
    """Fill in a template as DEPLOY.md says; sections are for values only."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)

    def fill_section(match: re.Match[str]) -> str:
        value = find_value(fields, match.group(1))
        if value is None or value is False:
            return ""
        return match.group(2).replace("{{.}}", str(value))

    def fill(match: re.Match[str]) -> str:
        value = find_value(fields, match.group(2))
        if match.group(3):
            return json.dumps(value)
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return PLACEHOLDER.sub(fill, section.sub(fill_section, template))


BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "outerMs": 5000,
    "strictRevocation": True,
    "revokeMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 102,
    "recoverS": 12,
    "iterationMs": 120,
    "retryAfterS": 0,
    "stall_ms": 1500,
    "holdMaxMs": 20000,
    "freeMs": 4000,
    "idleMaxMs": 9000,
}
LIMITS = {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100}
"""As in the sheet of himal-lift."""


def find_free_net(n_vms: int) -> tuple[list[str], dict[str, int]]:
    """:returns: loopback addresses and ports that are free on all of them"""
    for _ in range(200):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        hosts = [f"{net}.{number + 1}" for number in range(n_vms)]
        base = random.randint(2_100, 3_200) * 10
        names = ("frontend", "ready", "control", "peers", "handover")
        ports = {name: base + index for index, name in enumerate(names)}
        try:
            for host in hosts:
                for port in (*ports.values(), 9_100):
                    with socket.socket() as tried:
                        tried.bind((host, port))
        except OSError:
            continue
        return hosts, ports
    raise OSError("no free loopback addresses")


class Vm:
    """One entry VM: the program that deploy/system.toml names, as a process."""

    def __init__(self, fleet: Fleet, host: str) -> None:
        self.fleet, self.host = fleet, host
        self.address = f"{host}:{fleet.ports['frontend']}"
        self.bounds = dict(BOUNDS)
        self.limits = dict(LIMITS)
        self.folder = fleet.folder / host
        self.folder.mkdir()
        self.path = self.folder / "local.conf"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self) -> None:
        ports, fleet = self.fleet.ports, self.fleet
        fields = {
            "nodeName": f"edge-{self.host}",
            "ip": self.host,
            "zone": "a",
            "listen": {
                name: f"{self.host}:{ports[name]}"
                for name in ("frontend", "ready", "control")
            },
            "internalPorts": [ports["peers"], ports["handover"]],
            "seeds": [f"{host}:{ports['control']}" for host in fleet.hosts[:3]],
            "limits": self.limits,
            "heartbeatMs": 1200,
            "bounds": self.bounds,
            "platform": {"address": fleet.store.address},
        }
        template = (ROOT / fleet.role["template"]).read_text(encoding="utf-8")
        new = self.path.with_suffix(".new")
        new.write_text(render(template, fields), encoding="utf-8")
        new.replace(self.path)

    def start(self) -> None:
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["QUETZALDECK_SETTINGS"] = str(self.path)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                self.fleet.role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        end_ms = now_ms() + timeout_s * 1_000
        while now_ms() < end_ms:
            try:
                reader, writer = await asyncio.open_connection(
                    self.host, self.fleet.ports["ready"]
                )
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200" in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.host} is not ready")


class Fleet:
    """VMs and the store; an asynchronous context manager that ends all processes."""

    def __init__(self, n_vms: int, store: Store | None = None) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (self.role,) = deploy["roles"].values()
        self.store = store or Store()
        self.hosts, self.ports = find_free_net(n_vms)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.vms = [Vm(self, host) for host in self.hosts]

    async def __aenter__(self) -> Fleet:
        await self.store.start()
        return self

    async def start(self) -> None:
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            await vm.wait_ready()

    async def __aexit__(self, *exc: object) -> None:
        for vm in self.vms:
            vm.end()
        await self.store.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


# --- HTTP ----------------------------------------------------------------------------


class Request:
    def __init__(self, method: str, target: str, headers: dict[str, str]) -> None:
        self.method, self.target, self.headers = method, target, headers
        self.body = b""

    @property
    def call_id(self) -> str:
        return self.headers.get("quetzaldeck-attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, *fields = head.split("\r\n")
    method, target, _ = line.split(" ")
    headers = {}
    for field in fields:
        name, colon, value = field.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    request = Request(method, target, headers)
    request.body = await reader.readexactly(int(headers.get("content-length", "0")))
    return request


def build_head(status: int, *fields: str) -> bytes:
    lines = [f"HTTP/1.1 {status} Status", *[field for field in fields if field]]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def write(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)
    await writer.drain()


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    if writer.transport.is_closing():
        return
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Server:
    """A server on a loopback address, one task a connection."""

    def __init__(self) -> None:
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str = "127.0.0.1:0") -> None:
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.writers.add(writer)
        try:
            while not writer.transport.is_closing():
                await self.answer(await read_request(reader), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        raise NotImplementedError


# --- the platform's store ------------------------------------------------------------


class Store(Server):
    """Range reads and watches over one revision counter."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 10
        self.items: dict[str, dict[str, object]] = {}
        self.history: list[dict[str, object]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Write a value; when this returns, the store has acknowledged it."""
        self.revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        item: dict[str, object] = {
            "key": key,
            "value": data,
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._note(item)

    def delete(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)
        self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event: dict[str, object]) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        from urllib.parse import parse_qs, urlsplit

        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/kv-range":
            body = self._read_range(query)
        elif url.path == "/kv-watch":
            body = await self._watch(query)
        else:
            await write(writer, build_head(404, "Content-Length: 0"))
            return
        data = json.dumps(body).encode()
        await write(
            writer,
            build_head(
                200, "Content-Type: application/json", f"Content-Length: {len(data)}"
            )
            + data,
        )

    def _read_range(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
        items = [self.items[key] for key in keys[:500]]
        return {"items": items, "hasMore": len(keys) > 500, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        after = int(query["after"])
        end_ms = now_ms() + int(query["waitMs"])
        while True:
            events = [e for e in self.history if int(str(e["revision"])) > after]
            left_ms = end_ms - now_ms()
            if events or left_ms <= 0:
                return {"events": events, "at": self.revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left_ms / 1_000):
                    await changed.wait()
            except TimeoutError:
                continue


# --- replicas ------------------------------------------------------------------------


class Replica(Server):
    """A replica; subclasses define what it does with requests and orders."""

    kv_total = 232_000

    def __init__(self, replica_id: str, service: str) -> None:
        super().__init__()
        self.replica_id, self.service = replica_id, service
        self.started_ms = now_ms()

    def build_entry(self, state: str = "ready") -> dict[str, object]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 0,
        }

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        expected = request.headers.get("quetzaldeck-expect-instance", self.replica_id)
        echo = f"Quetzaldeck-Attempt-Id: {request.call_id}" if request.call_id else ""
        own = f"Quetzaldeck-Instance-Id: {self.replica_id}"
        if expected != self.replica_id:
            await write(writer, build_head(421, echo, own, "Content-Length: 0"))
        elif request.target == "/healthz":
            await write(writer, build_head(200, own, "Content-Length: 0"))
        elif request.target == "/report":
            body = json.dumps(self.build_report()).encode()
            head = build_head(200, f"Content-Length: {len(body)}")
            await write(writer, head + body)
        elif request.target == "/order":
            await self.order(json.loads(request.body), writer)
        else:
            await self.run(request, writer)

    def build_report(self) -> dict[str, object]:
        return {
            "stage": "colocated",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvTotal": self.kv_total,
            "handles": 0,
            "pace": 1.0,
        }

    async def order(
        self, order: dict[str, object], writer: asyncio.StreamWriter
    ) -> None:
        await write(writer, build_head(400, "Content-Length: 0"))

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def build_stream_head(self, request: Request) -> bytes:
        return build_head(
            200,
            f"Quetzaldeck-Attempt-Id: {request.call_id}",
            f"Quetzaldeck-Response-Seal: {self.replica_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )


# --- clients -------------------------------------------------------------------------


class Answer:
    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.ended_ms = 0.0


class Connection:
    """A client's connection to a VM, for one request after the other."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(
            self._host, self._port
        )

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()

    async def call(
        self,
        method: str,
        target: str,
        host: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Answer:
        """Send a request and read its answer, or what there is of it in time."""
        answer = Answer()
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        assert self._writer is not None
        try:
            async with asyncio.timeout(timeout_s):
                data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
                await write(self._writer, data)
                await self._read(answer)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        answer.ended_ms = now_ms()
        return answer

    async def _read(self, answer: Answer) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, *fields = head.split("\r\n")
        answer.status = int(line.split(" ")[1])
        for field in fields:
            name, _, value = field.partition(":")
            answer.headers[name.lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await self._reader.readline(), 16)
                answer.body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
                if not size:
                    break
        else:
            size = int(answer.headers.get("content-length", "0"))
            answer.body = await self._reader.readexactly(size)
        answer.is_whole = True


def run_case(folder: Path, case: object) -> int:
    """Run a case's coroutine function; 2 if it could not run."""
    record = Record(folder)

    async def bounded() -> int:
        async with asyncio.timeout(110):
            return await case(record)  # type: ignore[operator]

    try:
        code = asyncio.run(bounded())
    except Exception as error:  # noqa: BLE001 - whatever prevents the case
        record.note(f"the case could not run: {error!r}")
        code = NOT_RUN
    record.note({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code])
    return code
