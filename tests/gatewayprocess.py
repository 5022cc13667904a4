"""A real gateway on loopback, started by the deploy file's command."""

import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

import fixtures
import msgspec

from magnolialug.soak.block import Block
from tests.platformprocess import KEY

__all__ = [
    "FILE_DESCRIPTORS",
    "GatewayProcess",
    "Limits",
    "callers_ports",
    "most_memory_mb",
    "open_files",
    "request",
    "status_of",
]

ROOT = pathlib.Path(__file__).parent.parent
# Bounds the wait for what never comes.
_WAIT_S = 30.0
_PAUSE_S = 0.2
# The log, which its reader holds and not the process, is its stdout and stderr.
_LOG_HANDLES = 2
# Of an open connection, as the kernel lists it.
_ESTABLISHED = "01"
# Of a process's descriptors these are kept for files.
FILE_DESCRIPTORS = 200

_SETTINGS = """\
nodeName = "vm-0"
role = "gateway"
machineClass = "front"
serves = ["front"]
ipAddress = "{host}"
zone = "a"
region = "r"
internalPortRange = [7580, 7595]
bootstrap = false
heartbeatMs = 1200
[zones]
a = "r"
[bindAddresses]
front = "{host}:8749"
ready = "{host}:8741"
[bounds]
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryBudgetRatio = {retry_ratio}
retryBudgetExtra = 54
budgetWindowS = 10
leaseMs = 3000
thawSlackMs = 300
versionMs = 12000
[limits]
cpuShare = 0.817
cpuCores = 1
memoryMb = {memory_mb}
fileDescriptors = {descriptors}
[platform]
address = "127.0.0.1:{store_port}"
writesPerS = 400
readsPerS = 2000
ttlMinMs = 1000
"""


class Limits(msgspec.Struct, frozen=True):
    """The limits of the settings and of the operator's configuration."""

    memory_mb: int = 100
    descriptors: int = 500
    header_bytes: int = 16384
    body_bytes: int = 2 * 1024 * 1024
    header_s: float = 3.0
    retry_ratio: float = 0.2

    def as_config(self) -> dict:
        """Returns them as the operator names them."""
        return {
            "maxHeaderBytes": self.header_bytes,
            "maxBodyBytes": self.body_bytes,
            "headerTimeoutMs": int(self.header_s * 1000),
            "idleTimeoutMs": 15000,
        }


def request(
    method: str,
    target: str,
    name: str,
    body: bytes = b"",
    key: str = KEY,
    **headers: str,
) -> bytes:
    """Returns a request; a keyword's underscores stand for hyphens."""
    lines = [f"{method} {target} HTTP/1.1", "Host: h.example"]
    lines += [f"X-Request-Id: {name}", "X-Request-Deadline-Ms: 15000"]
    if key:
        lines.append(f"Authorization: Token {key}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class GatewayProcess(fixtures.Fixture):
    """A gateway, its platform, and what the gateway takes of its machine."""

    def __init__(
        self,
        limits: Limits,
        desks: int = 2,
        engines: int = 1,
        platform: str = "tests.platformprocess",
        **options: object,
    ):
        super().__init__()
        self.limits = limits
        self._platform = platform
        self._options = {
            "limits": limits.as_config(),
            "desks": desks,
            "engines": engines,
            **options,
        }
        self._names = iter(range(1_000_000))
        self._running: list[subprocess.Popen] = []

    def _setUp(self) -> None:
        block = Block()
        self.addCleanup(block.release)
        self.addCleanup(self._kill_all)
        self.host = block.machine(0)
        self.front, self.ready = (self.host, 8749), (self.host, 8741)
        self.metrics = (self.host, 9464)
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        settings = folder / "settings.toml"
        settings.write_text(
            _SETTINGS.format(
                host=self.host,
                memory_mb=self.limits.memory_mb,
                descriptors=self.limits.descriptors,
                retry_ratio=self.limits.retry_ratio,
                store_port=self._start_platform(),
            )
        )
        self.log = folder / "gateway.log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                _command(),
                cwd=ROOT,
                env={
                    "MAGNOLIALUG_SETTINGS": str(settings),
                    "PATH": os.environ["PATH"],
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._running.append(self.process)
        self.wait(lambda: self.ask(self.ready, self._get("/readyz")) == 200)
        self.wait(self.serves)

    def _start_platform(self) -> int:
        platform = subprocess.Popen(
            [
                sys.executable,
                "-m",
                self._platform,
                json.dumps(self._options),
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        self._running.append(platform)
        self.addCleanup(platform.stdout.close)
        return json.loads(platform.stdout.readline())["store"]

    def _kill_all(self) -> None:
        for process in self._running:
            process.send_signal(signal.SIGKILL)
            process.wait()

    @property
    def memory_mb(self) -> float:
        """Its most resident memory, and its files in memory at the moment."""
        pid = self.process.pid
        files = open_files(pid)[1] - self.log.stat().st_size * _LOG_HANDLES
        return most_memory_mb(pid) + files / 2**20

    @property
    def lives(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    @property
    def sockets(self) -> int:
        """How many sockets it has open."""
        return open_files(self.process.pid)[0]

    def serves(self) -> bool:
        """Whether an ordinary request is answered by an endpoint."""
        return self.ask(self.front, self._get("/read/x")) == 200

    def is_ready(self) -> bool:
        """Whether it answers the balancer that it is ready."""
        return self.ask(self.ready, self._get("/readyz")) == 200

    def ask(self, address: tuple[str, int], data: bytes) -> int:
        """Returns the status of the answer on a new connection, 0 for none."""
        try:
            with socket.create_connection(address, _WAIT_S) as conn:
                conn.sendall(data)
                return status_of(conn)
        except OSError:
            return 0

    def text_of(self, address: tuple[str, int], path: str) -> str:
        """Returns the whole answer of a page."""
        with socket.create_connection(address, _WAIT_S) as conn:
            conn.sendall(f"GET {path} HTTP/1.0\r\n\r\n".encode())
            return b"".join(iter(lambda: conn.recv(65536), b"")).decode()

    def _get(self, path: str) -> bytes:
        return request("GET", path, f"ordinary{next(self._names)}")

    def wait(self, condition) -> None:
        """Waits for a condition, and fails if it does not come true."""
        limit = time.monotonic() + _WAIT_S
        while not condition():
            if time.monotonic() > limit:
                raise AssertionError("waited in vain")
            time.sleep(_PAUSE_S)


def most_memory_mb(pid: int) -> float:
    """Returns the most resident memory that a process has had."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in text.splitlines() if "VmHWM" in row)
    return int(line.split()[1]) / 1024


def open_files(pid: int) -> tuple[int, int]:
    """Returns how many sockets a process has, and its temporary files' size."""
    sockets = size = 0
    for path in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(path)
            if target.startswith("socket:"):
                sockets += 1
            elif target.startswith(tempfile.gettempdir()):
                size += path.stat().st_size
        except FileNotFoundError:
            continue
    return sockets, size


def callers_ports(
    listener: tuple[str, int], in_flight: bool = False
) -> set[int]:
    """Returns the ports of those with an open connection to a listener.

    Args:
      in_flight: returns those only that have not acknowledged all bytes.
    """
    host, port = listener
    (address,) = struct.unpack("=I", socket.inet_aton(host))
    name = f"{address:08X}:{port:04X}"
    rows = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    ends = [row.split()[1:5] for row in rows]
    return {
        int(there.partition(":")[2], 16)
        for here, there, state, queues in ends
        if state == _ESTABLISHED and here == name
        if not in_flight or int(queues.partition(":")[0], 16)
    }


def status_of(conn: socket.socket) -> int:
    """Returns the status of the next answer, 0 if there is none."""
    data = b""
    while b"\r\n" not in data:
        piece = conn.recv(4096)
        if not piece:
            return 0
        data += piece
    return int(data.split()[1])


def _command() -> list[str]:
    text = (ROOT / "deploy" / "system.toml").read_text()
    run = tomllib.loads(text)["roles"]["gateway"]["run"].split()
    return [sys.executable if word == "python3" else word for word in run]
