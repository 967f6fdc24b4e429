"""Small stand-ins for the platform, its replicas and clients, and real entry VMs.

The stand-ins run in one process on loopback addresses. Each entry VM is a process of its
own, started with the command of ``deploy/system.toml`` and the template that it names.
Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
KEY = "key-of-tenant-a"
TENANT = "tenant-a"
HOST = "review.example"
BOUNDS = {
    "stableWindowMs": 3_000,
    "drainMs": 2_000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2_000,
    "downgradeSlackMs": 250,
    "revokeMs": 5_000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "freeMs": 4_000,
    "idleMaxMs": 9_000,
    "holdMaxMs": 20_000,
}
HEARTBEAT_MS = 1_200


class Record:
    """What was sent, answered and run, in the order of the real clock."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """:returns: seconds since the start"""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():9.3f} s  {text}\n")
        self._file.flush()


class Message:
    """One HTTP request or response; header names are in lower case."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self) -> str:
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])

    @property
    def call_id(self) -> str:
        return self.headers.get("quetzaldeck-attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """:returns: the next head; ``None`` at the end of the connection"""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """:returns: the next message with its whole body; ``None`` if it is cut off"""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "content-length" in message.headers:
            n_bytes = int(message.headers["content-length"])
            message.body = await reader.readexactly(n_bytes)
        elif message.headers.get("transfer-encoding") == "chunked":
            parts = []
            while n_bytes := int((await reader.readline()).split(b";")[0] or b"x", 16):
                parts.append(await reader.readexactly(n_bytes))
                await reader.readexactly(2)
            await reader.readline()
            message.body = b"".join(parts)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return message


def build_response(
    status: int, fields: dict[str, str], body: bytes = b"", *, has_length: bool = True
) -> bytes:
    """:returns: the bytes of a response"""
    reason = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}.get(status, "X")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if has_length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A server of which a subclass handles one request after the other."""

    def __init__(self, host: str, port: int = 0) -> None:
        self.host = host
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await self.read(reader)) is not None:
                if not await self.handle(message, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def read(self, reader: asyncio.StreamReader) -> Message | None:
        return await read_message(reader)

    async def handle(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """:returns: whether the connection stays open"""
        raise NotImplementedError


class Store(Server):
    """The platform's store: range reads and watches, linearizable."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self._items: dict[str, tuple[bytes, int]] = {}
        self._history: list[tuple[str, bytes | None, int]] = []
        self._revision = 1
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Write an item; it is acknowledged when this returns."""
        data = json.dumps(value).encode()
        self._revision += 1
        self._items[key] = (data, self._revision)
        self._note(key, data)

    def delete(self, key: str) -> None:
        """Delete an item."""
        self._revision += 1
        self._items.pop(key, None)
        self._note(key, None)

    def _note(self, key: str, data: bytes | None) -> None:
        self._history.append((key, data, self._revision))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        path, _, query = message.target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
        prefix = fields.get("prefix", "").replace("%2F", "/")
        if path == "/kv-range":
            answer = self._range(prefix)
        elif path == "/kv-watch":
            after, wait_ms = int(fields["after"]), int(fields["waitMs"])
            answer = await self._watch(prefix, after, wait_ms)
        else:
            writer.write(build_response(404, {}))
            return True
        body = json.dumps(answer).encode()
        writer.write(build_response(200, {"Content-Type": "application/json"}, body))
        await writer.drain()
        return True

    def _range(self, prefix: str) -> dict[str, object]:
        items = [
            _encode(key, data, revision)
            for key, (data, revision) in sorted(self._items.items())
            if key.startswith(prefix)
        ]
        return {"items": items, "hasMore": False, "at": self._revision}

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> dict[str, object]:
        end = time.monotonic() + wait_ms / 1_000
        while True:
            changed = self._changed
            events = [
                _encode(key, data, revision)
                for key, data, revision in self._history
                if revision > after and key.startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


def _encode(key: str, data: bytes | None, revision: int) -> dict[str, object]:
    if data is None:
        return {"key": key, "revision": revision, "deleted": True}
    value = base64.b64encode(data).decode()
    return {
        "key": key,
        "value": value,
        "revision": revision,
        "created": revision,
        "lease": 0,
    }


class Replica(Server):
    """A sound replica of a plain service; subclasses change single answers.

    ``runs`` counts by id how often it began to work on a request.
    """

    n_slots = 6

    def __init__(self, world: World, name: str, service: str, *, work_s: float = 0.02):
        super().__init__(world.replica_host)
        self.world = world
        self.name = name
        self.service = service
        self.zone = "zone-a"
        self.work_s = work_s
        self.runs: dict[str, int] = {}
        self.state = "ready"
        self._n_beats = 0
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await super().start()
        self.beat()
        self._beats = asyncio.create_task(self._beat_regularly())

    async def stop(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        await super().stop()

    def beat(self) -> None:
        """Write the entry of the replica to the store."""
        self._n_beats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.n_slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": 0,
        }
        self.world.store.put(f"servers/{self.name}", entry)

    async def _beat_regularly(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1_000)
            self._n_beats += 1

    def fields(self, message: Message) -> dict[str, str]:
        """:returns: the fields of each response"""
        return {
            "Quetzaldeck-Attempt-Id": message.call_id,
            "Quetzaldeck-Instance-Id": self.name,
            "Keep-Alive": "timeout=10",
        }

    def not_executed(self, message: Message, status: int = 503) -> bytes:
        """:returns: a response which says that the request was not run"""
        fields = self.fields(message) | {"Quetzaldeck-Not-Executed": "1"}
        return build_response(status, fields)

    def answer(self, message: Message, body: bytes = b"done") -> bytes:
        """:returns: a complete success"""
        seal = f"seal-{self.name}-{message.call_id}"
        fields = self.fields(message) | {"Quetzaldeck-Response-Seal": seal}
        return build_response(200, fields, body)

    def note_run(self, message: Message) -> None:
        """Record that the replica begins to work on a request."""
        self.runs[message.call_id] = self.runs.get(message.call_id, 0) + 1
        self.world.record.write(f"replica {self.name} runs {message.call_id}")

    async def handle(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if message.target == "/healthz":
            writer.write(build_response(200, {"Quetzaldeck-Instance-Id": self.name}))
            return True
        if not message.call_id:
            writer.write(build_response(404, {"Quetzaldeck-Instance-Id": self.name}))
            return True
        expected = message.headers.get("quetzaldeck-expect-instance")
        if expected not in (None, self.name):
            writer.write(self.not_executed(message, 421))
            return True
        return await self.serve(message, reader, writer)

    async def serve(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request; :returns: whether the connection stays open"""
        self.note_run(message)
        await asyncio.sleep(self.work_s)
        self.world.record.write(f"replica {self.name} answers {message.call_id} 200")
        writer.write(self.answer(message))
        await writer.drain()
        return True


class Vm:
    """One entry VM: a process of the deploy file's command."""

    def __init__(self, world: World, name: str, host: str, seeds: list[str]) -> None:
        self.world = world
        self.name = name
        self.host = host
        self.seeds = seeds
        self.extra: dict[str, object] = {}
        self.settings_path = world.folder / f"{name}.conf"
        self.log_path = world.folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def callers(self) -> tuple[str, int]:
        return self.host, self.world.ports["callers"]

    def write_settings(self, **changes: object) -> None:
        """Write the settings file, as the platform fills in the template."""
        self.extra |= changes
        ports = self.world.ports
        bounds = BOUNDS | self.world.bounds | self.extra
        fields = {
            "nodeName": self.name,
            "zone": "zone-a",
            "ip": self.host,
            "listen": {
                "frontend": f"{self.host}:{ports['callers']}",
                "ready": f"{self.host}:{ports['ready']}",
                "control": f"{self.host}:{ports['control']}",
            },
            "internalPorts": [ports["peer"], ports["handover"]],
            "seeds": [f"{seed}:{ports['control']}" for seed in self.seeds],
            "limits": {"cpuShare": 0.537, "cores": 2},
            "heartbeatMs": HEARTBEAT_MS,
            "bounds": bounds,
            "platform": {"address": self.world.store.address},
        }
        template = (ROOT / self.world.role["template"]).read_text(encoding="utf-8")
        # The file is replaced at once, so that no half of it is ever read.
        temporary = self.settings_path.with_suffix(".new")
        temporary.write_text(render(template, fields), encoding="utf-8")
        temporary.replace(self.settings_path)

    async def start(self, *, must_be_ready: bool = True) -> None:
        """Start the process."""
        command = self.world.role["run"].split(" ")
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "QUETZALDECK_SETTINGS": str(self.settings_path),
        }
        self.write_settings()
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.world.record.write(f"{self.name} is started, pid {self.process.pid}")
        if must_be_ready:
            await self.wait_ready()

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the VM says that it is ready.

        :raises RuntimeError: if it does not in time
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.is_ready():
                self.world.record.write(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        tail = self.log_path.read_text(encoding="utf-8")[-2_000:]
        self.world.record.write(f"log of {self.name}: {tail}")
        msg = f"{self.name} is not ready after {timeout_s} s"
        raise RuntimeError(msg)

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                answer = await exchange(
                    (self.host, self.world.ports["ready"]),
                    b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                )
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.world.record.write(f"{self.name} gets {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


async def exchange(address: tuple[str, int], request: bytes) -> Message | None:
    """:returns: the response to a request on a connection of its own"""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        return await read_message(reader)
    finally:
        writer.transport.abort()


def build_call(
    call_id: str,
    path: str,
    *,
    method: str = "POST",
    body: bytes = b"{}",
    deadline_ms: int = 5_000,
    key: str = KEY,
    fields: dict[str, str] | None = None,
) -> bytes:
    """:returns: the bytes of a client's request"""
    headers = {
        "Host": HOST,
        "Quetzaldeck-Attempt-Id": call_id,
        "Quetzaldeck-Deadline-Ms": str(deadline_ms),
        "Quetzaldeck-Key": key,
        **(fields or {}),
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class World:
    """The platform, replicas and VMs of one script; a context manager."""

    def __init__(self, folder: Path, **bounds: object) -> None:
        self.record = Record(folder / "record.txt")
        self.bounds = bounds
        self.role = _read_role()
        number = os.getpid()
        self._net = f"127.{64 + number % 128}.{(number // 128) % 250 + 1}"
        self.store = Store(f"{self._net}.2")
        self.replica_host = f"{self._net}.3"
        self.vms: list[Vm] = []
        self.replicas: list[Replica] = []
        self.ports: dict[str, int] = {}
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._n_vms = 0

    async def __aenter__(self) -> World:
        names = ("callers", "ready", "control", "peer", "handover")
        self.ports = dict(zip(names, _choose_ports(self.vm_host(1), 5), strict=True))
        await self.store.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for vm in self.vms:
            await vm.stop()
        for replica in self.replicas:
            await replica.stop()
        await self.store.stop()
        self._temporary.cleanup()

    def vm_host(self, number: int) -> str:
        return f"{self._net}.{10 + number}"

    def configure(self, routes: list[dict[str, object]], **more: object) -> None:
        """Write the configuration; the store acknowledges it when this returns."""
        names = {str(route["service"]) for route in routes}
        value = {
            "version": 1,
            "routes": routes,
            "services": [{"name": n, "healthPath": "/healthz"} for n in sorted(names)],
            "limits": {},
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
            **more,
        }
        self.store.put("op/config", value)
        self.record.write(f"configuration {value['version']} is acknowledged")

    async def add_replica(self, replica: Replica) -> None:
        self.replicas.append(replica)
        await replica.start()

    def add_vm(self, seeds: int = 3) -> Vm:
        self._n_vms += 1
        hosts = [self.vm_host(n + 1) for n in range(seeds)]
        vm = Vm(self, f"vm-{self._n_vms}", self.vm_host(self._n_vms), hosts)
        self.vms.append(vm)
        return vm

    def count_runs(self, call_id: str) -> int:
        return sum(replica.runs.get(call_id, 0) for replica in self.replicas)


def build_route(
    name: str, service: str, kind: str, *, timeout_ms: int = 5_000, **more: object
) -> dict[str, object]:
    """:returns: a route of the configuration"""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "non_idempotent" else 2,
        **more,
    }


def _read_role() -> dict[str, str]:
    data = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    return data["roles"]["entry"]


def _choose_ports(host: str, n_ports: int) -> list[int]:
    sockets = [socket.create_server((host, 0)) for _ in range(n_ports)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def render(template: str, fields: dict[str, object]) -> str:
    """Fill in the placeholders and sections that the template of the entry VM uses."""

    def find(path: str) -> object:
        value: object = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        value = find(match.group(1))
        if value in (None, False):
            return ""
        return match.group(2).replace("{{.}}", str(value))

    def field(match: re.Match[str]) -> str:
        value = find(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", field, text)


def run_case(case) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    :param case: coroutine function that takes a folder and returns what broke the rule,
        one text for each breach
    """
    folder = Path(sys.argv[1]).resolve()
    try:
        breaches = asyncio.run(case(folder))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    with (folder / "record.txt").open("a", encoding="utf-8") as file:
        for breach in breaches:
            file.write(f"BROKEN: {breach}\n")
        file.write(f"result: {'broken' if breaches else 'held'}\n")
    for breach in breaches:
        print(breach)
    print("the rule was broken" if breaches else "the rule held")
    sys.exit(1 if breaches else 0)
