"""Stand-ins for the platform's store, its servers and its machines.

Only the standard library is used. Everything listens on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

__all__ = [
    "Engine",
    "Gateway",
    "Plain",
    "Record",
    "Server",
    "Store",
    "ask",
    "free_host",
    "head_of",
    "main",
    "read_answer",
    "request_text",
    "service_row",
    "tenant",
]

ROOT = pathlib.Path(__file__).resolve().parents[2]
_METRICS_PORT = 9464
_BEAT_S = 1.2
_STATUS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    503: "Service Unavailable",
}

_SETTINGS = """\
nodeName = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ipAddress = "{host}"
zone = "{zone}"
region = "r"
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
a = "r"
b = "r"
[bindAddresses]
front = "{host}:{front_port}"
ready = "{host}:{ready_port}"
[limits]
cpuShare = 0.817
cpuCores = 1
memoryMb = {memory_mb}
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
revokeFailClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 54
recoveryS = 12
transitMs = 120
cacheWindowS = 20
fencingEnforced = true
leaseMs = 3000
thawSlackMs = 300
versionMs = 12000
versionAllMs = 17000
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyRetentionS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Writes one line."""
        at = time.monotonic() - self._began
        self._file.write(f"{at:8.3f}  {text}\n")
        self._file.flush()


def free_host() -> str:
    """Returns a loopback address at which the metrics port is free."""
    while True:
        host = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.1"
        with socket.socket() as probe:
            try:
                probe.bind((host, _METRICS_PORT))
            except OSError:
                continue
        return host


def _free_ports(host: str, count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            probe = stack.enter_context(socket.socket())
            probe.bind((host, 0))
            ports.append(probe.getsockname()[1])
        return ports


def tenant(name: str, key: str, **more) -> dict:
    """Returns a row of a configuration's tenants."""
    return {"name": name, "apiKeys": [key], "priority": 1, **more}


def service_row(name: str, **more) -> dict:
    """Returns a row of a configuration's services."""
    row = {"name": name, "healthPath": "/healthz", "maxConnections": 100}
    return {**row, "protocol": "h1", "tls": False, **more}


def request_text(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns the bytes of a client's request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def head_of(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers of a message, None at the end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = text.decode("latin-1").split("\r\n")[:-2]
    headers: dict[str, str] = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Returns status, headers and body of a complete answer.

    Raises:
      ConnectionError, asyncio.IncompleteReadError: if it is not complete.
    """
    head = await head_of(reader)
    if head is None:
        raise ConnectionResetError("no answer")
    status = int(head[0].split()[1])
    if "chunked" in head[1].get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return status, head[1], body
    length = int(head[1].get("content-length", 0))
    return status, head[1], await reader.readexactly(length)


async def ask(
    address: tuple[str, int], data: bytes, limit_s: float = 20.0
) -> tuple[int, dict[str, str], bytes] | None:
    """Returns the answer to a request on a new connection, None for none."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(data)
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None


class Server:
    """An HTTP/1.1 listener that serves one request at a time a connection."""

    def __init__(self):
        self.address: tuple[str, int] = ("", 0)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def listen(self) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**22
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stops listening, and ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    @property
    def text(self) -> str:
        """Returns the address as text."""
        return f"{self.address[0]}:{self.address[1]}"

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (head := await head_of(reader)) is not None:
                length = int(head[1].get("content-length", 0))
                body = await reader.readexactly(length)
                method, target, _ = head[0].split(" ", 2)
                if not await self.handle(
                    method, target, head[1], body, reader, writer
                ):
                    return
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def handle(
        self, method, target, headers, body, reader, writer
    ) -> bool:
        """Answers a request; returns whether the connection goes on."""
        raise NotImplementedError

    @staticmethod
    def reply(
        writer, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Writes an answer with a length."""
        lines = [f"HTTP/1.1 {status} {_STATUS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def reply_json(self, writer, status: int, body: object) -> None:
        """Writes an answer in JSON."""
        kind = {"Content-Type": "application/json"}
        self.reply(writer, status, json.dumps(body).encode(), kind)


class Store(Server):
    """The platform's store: items, leases, watches and conditions.

    Attributes:
      items: by key, [value, revision, created, lease].
    """

    def __init__(self):
        super().__init__()
        self.items: dict[str, list] = {}
        self.revision = 1
        self._history: list[dict] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 0
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key; returns the revision."""
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = [value, self.revision, created, lease]
        self._record(self._row(key))
        return self.revision

    def put_json(self, key: str, value: object) -> int:
        """Writes a key as JSON; returns the revision."""
        return self.put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            row = {"key": key, "revision": self.revision, "tombstone": True}
            self._record(row)

    async def run(self) -> None:
        """Ends leases that have run out, until it is cancelled."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self._leases.items()):
                if now >= ends_at:
                    self._end(lease)

    def _end(self, lease: int) -> None:
        del self._leases[lease]
        for key in [k for k, row in self.items.items() if row[3] == lease]:
            self.delete(key)

    def _record(self, row: dict) -> None:
        self._history.append(row)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _row(self, key: str) -> dict:
        value, revision, created, lease = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": lease,
        }

    async def handle(
        self, method, target, headers, body, reader, writer
    ) -> bool:
        """Answers one call."""
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        name, _, rest = parts.path.strip("/").partition("/")
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        call = getattr(self, "_" + name.replace("-", "_"), None)
        if call is None:
            self.reply_json(writer, 404, {})
            return True
        status, answer = await call(query, rest, json.loads(body or b"{}"))
        self.reply_json(writer, status, answer)
        return True

    async def _kv_key(self, query, rest, body):
        key = query.get("key", "")
        if key not in self.items:
            return 404, {"asOf": self.revision}
        return 200, {**self._row(key), "asOf": self.revision}

    async def _kv_range(self, query, rest, body):
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = [k for k in sorted(self.items) if k.startswith(prefix)]
        rows = [self._row(key) for key in keys if key > after]
        page = {"items": rows[:500], "hasMore": len(rows) > 500}
        return 200, {**page, "asOf": self.revision}

    async def _kv_watch(self, query, rest, body):
        prefix = query.get("pathPrefix", "")
        after = int(query.get("after", 0))
        ends_at = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            found = [
                row
                for row in self._history
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    async def _kv_txn(self, query, rest, body):
        rows = body.get("expected", [])
        found = {row["key"]: self.items.get(row["key"]) for row in rows}
        for row in rows:
            item = found[row["key"]]
            if (item[1] if item else 0) != row["revision"]:
                items = [self._row(key) for key in found if found[key]]
                return 412, {"items": items}
        leases = {row.get("lease", 0) for row in body.get("writes", [])} - {0}
        if leases - set(self._leases):
            return 404, {}
        for row in body.get("writes", []):
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    async def _kv_lease(self, query, rest, body):
        self._last_lease += 1
        ttl_s = body["ttlMs"] / 1000
        self._leases[self._last_lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease": self._last_lease, "ttlMs": body["ttlMs"]}

    async def _kv_keep(self, query, rest, body):
        lease = int(rest)
        if lease not in self._leases:
            return 404, {}
        ttl_s = self._leases[lease][0]
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttlMs": int(ttl_s * 1000)}

    async def _kv_lease_end(self, query, rest, body):
        if int(rest) not in self._leases:
            return 404, {}
        self._end(int(rest))
        return 200, {}


class Plain(Server):
    """A server of a plain service, which registers itself.

    Attributes:
      id: the name of its lifetime.
      arrived: headers of all requests that arrived.
      ran: the ids of the requests that it ran.
      work_s: how long a request takes.
      answer: returns the body of an answer.
    """

    def __init__(self, store: Store, service: str, zone: str, record: Record):
        super().__init__()
        self.id = f"i-{random.getrandbits(32):08x}"
        self.service, self.zone = service, zone
        self.store, self.record = store, record
        self.arrived: list[dict[str, str]] = []
        self.ran: list[str] = []
        self.work_s = 0.02
        self.answer: Callable[[str], bytes] = lambda request_id: b"x" * 800
        self._beats = 0

    def entry(self) -> dict:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": self.text,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._beats,
        }

    def register(self) -> None:
        """Writes its entry; its count of check-ins alone is not written."""
        self.store.put_json(f"servers/{self.id}", self.entry())

    def stamp(self, request_id: str) -> dict[str, str]:
        """Returns the headers that prove a run."""
        return {
            "X-Request-Id": request_id,
            "X-Response-Stamp": f"{self.id}.{len(self.ran)}",
            "X-Instance-Id": self.id,
        }

    async def handle(
        self, method, target, headers, body, reader, writer
    ) -> bool:
        """Runs a request, or rejects it if it expects another server."""
        expected = headers.get("x-expect-instance", self.id)
        if expected != self.id:
            self.reply(writer, 421, b"", {"X-Instance-Id": self.id})
            return True
        if target == "/healthz":
            self.reply(writer, 200, b"", {"X-Instance-Id": self.id})
            return True
        self.arrived.append(headers)
        return await self.run_request(target, headers, body, reader, writer)

    async def run_request(self, target, headers, body, reader, writer) -> bool:
        """Runs a request and answers it."""
        request_id = headers.get("x-request-id", "")
        self.ran.append(request_id)
        self.record.note(f"server {self.id} runs {request_id} {target}")
        await asyncio.sleep(self.work_s)
        data = self.answer(request_id)
        self.reply(writer, 200, data, self.stamp(request_id))
        self.record.note(f"server {self.id} answers {request_id}")
        return True


class Engine(Plain):
    """A model server: streams, reports, orders, and the parts that it keeps.

    Attributes:
      model: the name of its model.
      version: of the weights that it has.
      load_s: how long new weights take.
      orders: how many orders it has accepted.
      parts: by salt and id, the tenant whose request made the part, and the
        version that it was made with.
      shared: (request, tenant, salt, id, maker) of each part that a request
        found here and did not make.
      named: returns the newest version that the operator has named.
    """

    def __init__(self, store, service, zone, record, model: str):
        super().__init__(store, service, zone, record)
        self.model = model
        self.version = 1
        self.load_s = 1.3
        self.orders = 0
        self.busy = False
        self.fence = 0
        self.parts: dict[tuple[str, str], tuple[str, int]] = {}
        self.shared: list[tuple[str, str, str, str, str]] = []
        self.named: Callable[[], int] = lambda: 10**6
        self._loads: set[asyncio.Task] = set()

    def entry(self) -> dict:
        """Returns its entry in the store."""
        return {
            **super().entry(),
            "slots": 128,
            "stage": "prefill_decode",
            "models": [self._model_row()],
        }

    def _model_row(self) -> dict:
        return {"name": self.model, "version": self.version, "adapters": []}

    async def handle(
        self, method, target, headers, body, reader, writer
    ) -> bool:
        """Answers reports and orders; all else is a request."""
        expected = headers.get("x-expect-instance", self.id)
        if target in ("/report", "/order") and expected == self.id:
            if target == "/report":
                self.reply_json(writer, 200, self._report())
            else:
                status = self._take(json.loads(body))
                self.reply_json(writer, status, {})
            return True
        return await super().handle(
            method, target, headers, body, reader, writer
        )

    def _report(self) -> dict:
        return {
            "stage": "prefill_decode",
            "models": [self._model_row()],
            "busy": self.busy,
            "sequence": self.orders,
            "waiting": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 142125,
            "handles": 0,
            "state": "ready",
            "runs": [],
            "clock_ms": int(time.time() * 1000),
        }

    def _take(self, order: dict) -> int:
        """Returns the status of an order."""
        text = json.dumps(order)
        if not order.get("holder") or not order.get("fencingToken"):
            status = 400
        elif order["fencingToken"] < self.fence:
            status = 412
        elif self.busy or order.get("expected", self.orders) != self.orders:
            status = 409
        elif order["version"] > self.named():
            status = 400
        else:
            status = 200 if order["version"] == self.version else 202
        if status in (200, 202):
            self.fence = max(self.fence, order["fencingToken"])
        if status == 202:
            self.orders += 1
            self.busy = True
            load = asyncio.create_task(self._load(order["version"]))
            self._loads.add(load)
            load.add_done_callback(self._loads.discard)
        self.record.note(f"server {self.id} order {text} -> {status}")
        return status

    async def _load(self, version: int) -> None:
        await asyncio.sleep(self.load_s)
        self.version = version
        self.parts.clear()
        self.busy = False
        self.record.note(f"server {self.id} has {self.model} {version}")
        self.register()

    async def run_request(self, target, headers, body, reader, writer) -> bool:
        """Runs a generation: four events, 50 ms apart."""
        request_id = headers.get("x-request-id", "")
        if int(headers.get("x-expect-version", self.version)) != self.version:
            self.reply(
                writer,
                421,
                b"",
                {"X-Request-Id": request_id, "X-Instance-Id": self.id},
            )
            return True
        if self.busy:
            self.reply(
                writer,
                503,
                b"",
                {"X-Request-Id": request_id, "X-Not-Executed": "1"},
            )
            return True
        self.ran.append(request_id)
        self._use_parts(request_id, headers)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{k}: {v}" for k, v in self.stamp(request_id).items()]
        lines += [f"X-Weight-Versions: {self.version}"]
        lines += ["Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, 5):
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        return True

    def _use_parts(self, request_id: str, headers: dict[str, str]) -> None:
        """Finds the parts of a prompt under its salt, and keeps the others."""
        salt = headers.get("x-cache-salt", "")
        who = headers.get("x-tenant-id", "")
        rows = headers.get("x-prompt-prefix", "").split(",")
        for part in (row.rpartition(":")[0] for row in rows if row):
            made_by, _ = self.parts.setdefault(
                (salt, part), (who, self.version)
            )
            kept = "made" if made_by == who else f"found, made by {made_by}"
            if made_by != who:
                self.shared.append((request_id, who, salt, part, made_by))
            self.record.note(
                f"server {self.id} runs {request_id} of {who}: part {part}"
                f" under salt {salt!r} {kept}"
            )


class Gateway:
    """One front machine: the gateway as the deploy file runs it."""

    def __init__(
        self,
        name: str,
        zone: str,
        store: Store,
        folder: str,
        memory_mb: int = 300,
    ):
        self.name = name
        self.host = free_host()
        ports = _free_ports(self.host, 2)
        self.front = (self.host, ports[0])
        self.ready = (self.host, ports[1])
        self._settings = pathlib.Path(folder) / f"{name}.toml"
        self._log = pathlib.Path(folder) / f"{name}.log"
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                host=self.host,
                zone=zone,
                port=7580,
                last_port=7595,
                front_port=ports[0],
                ready_port=ports[1],
                store=store.text,
                memory_mb=memory_mb,
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        env = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        env["MAGNOLIALUG_SETTINGS"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "magnolialug.cmd.gateway",
                "--log_format=json",
                f"--metrics_port={_METRICS_PORT}",
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def until_ready(self, limit_s: float = 20.0) -> None:
        """Returns when it says that it is ready.

        Raises:
          TimeoutError: if it does not.
        """
        ends_at = time.monotonic() + limit_s
        text = request_text("GET", "/readyz", {"Host": "ready"})
        while time.monotonic() < ends_at:
            found = await ask(self.ready, text, 2.0)
            if found and found[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready")

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def close(self) -> None:
        """Ends the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def log_lines(self) -> list[dict]:
        """Returns what it has logged."""
        lines = []
        for line in self._log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


Case = Callable[["Record", Store, str, bool], Awaitable[bool]]


def main(case: Case, folder: pathlib.Path, limit_s: float = 110.0) -> None:
    """Plays a case and exits: 0 if the rule held, 1 if not, 2 for neither.

    Args:
      case: plays it with a record, a store, a temporary folder and whether
        there is a disruption; returns whether the rule held.
      folder: where the record goes.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.note(f"disruption: {'yes' if trouble else 'no'}")

    async def play() -> bool:
        store = Store()
        await store.listen()
        leases = asyncio.create_task(store.run())
        try:
            with tempfile.TemporaryDirectory() as temporary:
                async with asyncio.timeout(limit_s):
                    return await case(record, store, temporary, trouble)
        finally:
            leases.cancel()
            store.close()

    try:
        held = asyncio.run(play())
    except Exception as exc:
        record.note(f"the case could not run: {type(exc).__name__}: {exc}")
        sys.exit(2)
    record.note("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
