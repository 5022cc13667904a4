"""Stand-ins of the review's scripts: the store, servers, clients, machines.

They speak what the platform's pages say and use the standard library alone.
One process holds them all; the gateways are processes of their own, started
with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[1]
HISTORY_S = 20.0
BEAT_S = 1.2
PAGE_ROWS = 500
KEEP_ALIVE_S = 15

SETTINGS = """\
nodeName = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front", "control"]
ipAddress = "{host}"
zone = "{zone}"
region = "r1"
internalPortRange = [{port}, {last_port}]
seedNodes = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache",\
"stream","engine","tenants","platform"]
[zones]
z1 = "r1"
z2 = "r1"
[bindAddresses]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpuShare = 1.0
cpuCores = 1
memoryMb = {memory_mb}
fileDescriptors = 4100
linkMbps = 100.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
contactMs = {contact_ms}
ackMs = 6000
catchUpS = 6
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = {config_ms}
rollbackSlackMs = 250
maxStretchMs = 6000
revokeFailClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 80
recoveryS = 15
transitMs = 200
cacheWindowS = 20
fencingEnforced = true
leaseMs = 3000
thawSlackMs = 300
versionMs = 8000
versionAllMs = 11000
[platform]
address = "{store}"
form = "kv"
writesPerS = 1200
readsPerS = 6000
historyRetentionS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Record:
    """Writes a line for each thing that a client or the platform sees."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._begun = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the script began."""
        return time.monotonic() - self._begun

    def add(self, text: str) -> None:
        """Writes one line with its time."""
        self._file.write(f"{self.now:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Message:
    """A request or a response as it arrived."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rows = head.decode("latin-1").split("\r\n")
    headers = {}
    for row in filter(None, rows):
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first, headers, body)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if "chunked" in headers.get("transfer-encoding", ""):
        pieces = []
        while size := int(await reader.readuntil(b"\r\n"), 16):
            pieces.append((await reader.readexactly(size + 2))[:-2])
        await reader.readexactly(2)
        return b"".join(pieces)
    return await reader.readexactly(int(headers.get("content-length", 0)))


def response(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Returns the bytes of a response."""
    rows = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    rows += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(rows).encode("latin-1") + b"\r\n\r\n" + body


def address_of(server: asyncio.Server) -> str:
    """Returns the address at which a server listens."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def new_host() -> str:
    """Returns a loopback address that is most likely not in use."""
    rows = [random.randrange(1, 255) for _ in range(3)]
    return "127." + ".".join(map(str, rows))


def free_port(host: str) -> int:
    """Returns a port that is free for TCP and UDP."""
    with socket.socket() as tcp:
        tcp.bind((host, 0))
        return tcp.getsockname()[1]


class Store:
    """The platform's store: keys, leases, watches, conditional writes."""

    def __init__(self) -> None:
        self.revision = 0
        self.rows: dict[str, dict] = {}
        self.history: list[tuple[float, dict]] = []
        self._forgotten = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, new_host(), 0)
        self.address = address_of(self._server)

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key; returns its revision."""
        self.revision += 1
        created = self.rows.get(key, {}).get("created", self.revision)
        row = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.rows[key] = row
        self._note(row)
        return self.revision

    def put(self, key: str, value: object) -> int:
        """Writes a value as JSON."""
        return self.write(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        """Removes a key."""
        if self.rows.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def _note(self, row: dict) -> None:
        now = time.monotonic()
        self.history.append((now, row))
        while self.history and now - self.history[0][0] > HISTORY_S:
            self._forgotten = self.history.pop(0)[1]["revision"]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def expire(self) -> None:
        """Ends leases that have run out."""
        now = time.monotonic()
        for lease, (_, until) in list(self._leases.items()):
            if until <= now:
                self._end(lease)

    def _end(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        for key in [k for k, row in self.rows.items() if row["lease"] == lease]:
            self.remove(key)
        return True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (req := await read_message(reader)) is not None:
                method, target, _ = req.first.split()
                status, body = await self._answer(method, target, req.body)
                data = json.dumps(body).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(response(status, data, headers))
                await writer.drain()
        writer.close()

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, dict]:
        self.expire()
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        call, _, name = parts.path[1:].partition("/")
        table = json.loads(body) if body else {}
        if call == "kv-key":
            row = self.rows.get(query["key"])
            return (200, {**row, "asOf": self.revision}) if row else (404, {})
        if call == "kv-range":
            return 200, self._page(query)
        if call == "kv-watch":
            return await self._watch(query)
        if call == "kv-txn":
            return self._txn(table)
        if call == "kv-lease" and method == "POST":
            self._last_lease += 1
            return self._renew(self._last_lease, table["ttlMs"] / 1000)
        if call == "kv-keep":
            known = self._leases.get(int(name))
            return self._renew(int(name), known[0]) if known else (404, {})
        if call == "kv-lease-end":
            return (200 if self._end(int(name)) else 404), {}
        return 400, {}

    def _renew(self, lease: int, ttl_s: float) -> tuple[int, dict]:
        self._leases[lease] = ttl_s, time.monotonic() + ttl_s
        return 200, {"lease": lease, "ttlMs": int(ttl_s * 1000)}

    def _page(self, query: dict[str, str]) -> dict:
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        return {
            "items": [self.rows[key] for key in keys[:PAGE_ROWS]],
            "hasMore": len(keys) > PAGE_ROWS,
            "asOf": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            self.expire()
            if after < self._forgotten:
                return 410, {}
            events = [
                row
                for _, row in self.history
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.1))

    def _txn(self, table: dict) -> tuple[int, dict]:
        nothing = {"value": "", "revision": 0, "created": 0, "lease": 0}
        for row in table.get("expected", ()):
            held = self.rows.get(row["key"])
            if (held["revision"] if held else 0) != row["revision"]:
                items = [
                    self.rows.get(r["key"], {**nothing, "key": r["key"]})
                    for r in table["expected"]
                ]
                return 412, {"items": items}
        writes = table.get("writes", ())
        for row in writes:
            if row.get("lease") and row["lease"] not in self._leases:
                return 404, {}
        for row in writes:
            value = base64.b64decode(row["value"])
            self.write(row["key"], value, row.get("lease", 0))
        for key in table.get("deletes", ()):
            self.remove(key)
        return 200, {"revision": self.revision}


class Server:
    """A sound plain server: runs what is meant for it, registers itself."""

    def __init__(
        self, store: Store, record: Record, service: str, zone: str = "z1"
    ):
        self.id = f"i-{random.randrange(16**10):010x}"
        self.service = service
        self.work_s = 0.02
        self.runs: dict[str, int] = {}
        self.store = store
        self.record = record
        self._zone = zone
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task | None = None
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port, and registers."""
        self._server = await asyncio.start_server(self.serve, new_host(), 0)
        self.address = address_of(self._server)
        self._task = asyncio.create_task(self._beat())

    def close(self) -> None:
        """Stops listening and registering."""
        self.close_port()
        self.stop_beats()

    def close_port(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def stop_beats(self) -> None:
        """Stops registering."""
        if self._task is not None:
            self._task.cancel()

    def entry(self) -> dict:
        """Returns what it registers."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
        }

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            self.store.put(f"servers/{self.id}", self.entry())
            await asyncio.sleep(BEAT_S)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (req := await read_message(reader)) is not None:
                writer.write(await self.answer(req))
                await writer.drain()
        writer.close()

    async def answer(self, req: Message) -> bytes:
        """Returns the response to a request; runs it."""
        name = req.headers.get("x-request-id", "")
        echo = {"X-Request-Id": name, "X-Instance-Id": self.id}
        echo["Keep-Alive"] = f"timeout={KEEP_ALIVE_S}"
        if req.headers.get("x-expect-instance", self.id) != self.id:
            return response(421, b"", echo)
        if req.first.split()[1] == "/healthz":
            return response(200, b"", echo)
        self.runs[name] = self.runs.get(name, 0) + 1
        team = req.headers.get("x-tenant-id", "none")
        self.record.add(
            f"server {self.id} of {self.service} runs {name}, team {team}"
        )
        await asyncio.sleep(self.work_s)
        echo["X-Response-Stamp"] = f"{self.service}.{name}"
        return response(200, f"{self.service} ran {name}".encode(), echo)


class Gateway:
    """A machine with one process of the system under review."""

    def __init__(self, number: int, store: Store, folder: str, **bounds: int):
        self.name = f"vm-{number}"
        self.host = new_host()
        self.front = free_port(self.host)
        self.ready = free_port(self.host)
        self._settings = pathlib.Path(folder) / f"{self.name}.toml"
        self._log = pathlib.Path(folder) / f"{self.name}.log"
        port = free_port(self.host)
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=f"z{number % 2 + 1}",
                port=port,
                last_port=port + 15,
                front=self.front,
                ready=self.ready,
                control=free_port(self.host),
                store=store.address,
                **bounds,
            )
        )
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "MAGNOLIALUG_SETTINGS": str(self._settings),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def memory_kb(self) -> int:
        """The memory that it alone has, without code that is shared."""
        if not self.running:
            return 0
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        rows = dict(row.split(":", 1) for row in status.splitlines())
        return int(rows.get("RssAnon", "0 kB").split()[0])

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.running:
            self._process.send_signal(number)

    def log_lines(self) -> list[str]:
        """Returns what the process has written."""
        return self._log.read_text(errors="replace").splitlines()

    def kill(self) -> None:
        """Ends the process."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait()

    async def is_ready(self) -> bool:
        """Asks it as the platform's balancer does."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready
            )
        except OSError:
            return False
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
        found = await read_message(reader)
        writer.close()
        return found is not None and found.status == 200

    async def wait_until_ready(self, limit_s: float = 15.0) -> None:
        """Returns once it is ready.

        Raises:
          CannotRunError: if it is not in time.
        """
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)


class Client:
    """A client that keeps its connection for further requests."""

    def __init__(self, gateway: Gateway, record: Record, key: str):
        self._gateway = gateway
        self.record = record
        self._key = key
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.sent = 0

    async def connect(self) -> None:
        """Opens the connection."""
        self._reader, self._writer = await asyncio.open_connection(
            self._gateway.host, self._gateway.front
        )

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()

    async def post(
        self, target: str, body: bytes, wait_ms: int
    ) -> tuple[str, Message | None]:
        """Sends a request.

        Returns:
          its id, and the response, None if the connection ended without one.
        """
        name = f"{random.randrange(16**16):016x}"
        head = (
            f"POST {target} HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Request-Id: {name}\r\n"
            f"X-Request-Deadline-Ms: {wait_ms}\r\n"
            f"Authorization: Token {self._key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.record.add(
            f"client sends {name} {target} with {len(body)} bytes"
            f" on a connection that has had {self.sent}"
        )
        self.sent += 1
        found = None
        with contextlib.suppress(OSError, TimeoutError):
            self._writer.write(head.encode() + body)
            found = await asyncio.wait_for(
                read_message(self._reader), wait_ms / 1000 + 1
            )
        told = found.status if found else "no answer"
        self.record.add(f"client of {name} gets {told}")
        return name, found


class CannotRunError(Exception):
    """The case could not be set up."""


async def call(
    gateway: Gateway,
    record: Record,
    target: str,
    key: str,
    host: str = "shop.example",
    method: str = "GET",
    wait_ms: int = 3000,
    more: dict[str, str] | None = None,
) -> tuple[str, Message | None]:
    """Sends a client's request on a connection of its own.

    Returns:
      its id, and the response, None if the connection ended without one.
    """
    name = f"{random.randrange(16**16):016x}"
    record.add(f"client sends {name} {target} to {gateway.name}, key {key}")
    try:
        reader, writer = await asyncio.open_connection(
            gateway.host, gateway.front
        )
        writer.write(
            (
                f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
                f"X-Request-Id: {name}\r\n"
                f"X-Request-Deadline-Ms: {wait_ms}\r\n"
                f"Authorization: Token {key}\r\n"
                + "".join(f"{k}: {v}\r\n" for k, v in (more or {}).items())
                + "\r\n"
            ).encode()
        )
        found = await asyncio.wait_for(read_message(reader), wait_ms / 1000 + 1)
        writer.close()
    except (OSError, TimeoutError) as exc:
        record.add(f"client of {name}: {type(exc).__name__}")
        return name, None
    told = "no answer" if found is None else f"{found.status} {found.body!r}"
    record.add(f"client of {name} gets {told[:90]}")
    return name, found


def run_case(folder: pathlib.Path, play) -> None:
    """Plays a case, and exits with its result.

    Args:
      play: a coroutine function; it gets the record, whether there is the
        disruption, and a temporary folder, and returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.add(f"begins, TROUBLE={int(trouble)}")

    async def bounded(scratch: str) -> bool:
        """Plays the case; a SIGTERM ends it, and what it has started."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(play(record, trouble, scratch), 110)

    with tempfile.TemporaryDirectory() as scratch:
        try:
            held = asyncio.run(bounded(scratch))
        except (
            CannotRunError,
            TimeoutError,
            OSError,
            asyncio.CancelledError,
        ) as exc:
            record.add(f"could not run: {type(exc).__name__} {exc}")
            record.close()
            sys.exit(2)
    record.add("the rule held" if held else "the rule was BROKEN")
    record.close()
    sys.exit(0 if held else 1)
