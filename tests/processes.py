"""Real processes on loopback for the few tests that need them."""

import json
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import fixtures

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "tiszavirag"
_WAIT_S = 20.0
_PORTS = (20_000, 32_000)


def free_port() -> int:
    """Returns a port that was free a moment ago.

    It lies below the ports that the kernel gives to outgoing connections; one
    of those would take it before the process that is meant to have it starts.
    """
    while True:
        port = random.randrange(*_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def program(name: str) -> list[str]:
    """Returns the command of one of the programs."""
    code = f"from magnolialug.cmd.{name} import run; run()"
    return [sys.executable, "-c", code]


def post(url: str, body: object, key: str = "", **headers: str):
    """Returns status, headers and JSON of a POST."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    req = urllib.request.Request(url, data, method="POST")
    if key:
        req.add_header("Authorization", f"Bearer {key}")
    for name, value in headers.items():
        req.add_header(name.replace("_", "-"), value)
    return _open(req)


def get(url: str, key: str = "", **headers: str):
    """Returns status, headers and text of a GET."""
    req = urllib.request.Request(url)
    if key:
        req.add_header("Authorization", f"Bearer {key}")
    for name, value in headers.items():
        req.add_header(name.replace("_", "-"), value)
    return _open(req)


def _open(req):
    try:
        with urllib.request.urlopen(req, timeout=_WAIT_S) as reply:
            return reply.status, reply.headers, reply.read().decode()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.headers, exc.read().decode()


class Processes(fixtures.Fixture):
    """KV and endpoint stand-ins, three sidecars and two entries."""

    def _setUp(self) -> None:
        self.running: dict[str, subprocess.Popen] = {}
        self.addCleanup(self.kill_all)
        self.folder = pathlib.Path(
            self.useFixture(fixtures.TempDir()).path, "tiszavirag"
        )
        shutil.copytree(EXAMPLE, self.folder)
        path = self.folder / "30-endpoints.toml"
        path.write_text(self._three_endpoints(path.read_text()))
        stores = self.folder / "40-stores.toml"
        stores.write_text(
            re.sub(
                r"127.0.0.1:\d+",
                lambda _: f"127.0.0.1:{free_port()}",
                stores.read_text(),
            )
        )
        kv_port = free_port()
        self.kv_url = f"http://127.0.0.1:{kv_port}"
        self.start(
            "standins",
            "local",
            "--standins",
            f"--kv_port={kv_port}",
            f"--examples={self.folder.parent}",
        )
        self.wait(lambda: self.ctl("apply", str(self.folder)) == 0)
        for name in ("model-1", "model-2", "booking-1"):
            self.start(name, "sidecar", f"--endpoint={name}", self.kv_flag)
        self.entries = []
        for name in ("entry-1", "entry-2"):
            port = free_port()
            self.entries.append(f"http://127.0.0.1:{port}")
            self.start(
                name,
                "entry",
                f"--entry_id={name}",
                f"--listen=127.0.0.1:{port}",
                self.kv_flag,
            )
        self.wait(lambda: self.ctl("status", f"--entries={self.all}") == 0)
        self.wait(self._ready)

    @property
    def kv_flag(self) -> str:
        return f"--kv_url={self.kv_url}"

    @property
    def all(self) -> str:
        return ",".join(self.entries)

    def start(self, name: str, command: str, *flags: str) -> None:
        """Starts a program under a name."""
        self.running[name] = subprocess.Popen(
            [*program(command), "--log_level=ERROR", *flags],
            stdout=subprocess.DEVNULL,
        )

    def stop(self, name: str) -> int:
        """Stops a program gracefully, by its id; returns its exit code."""
        process = self.running.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(_WAIT_S)

    def kill_all(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()

    def ctl(self, *arguments: str) -> int:
        """Runs magnolialug-ctl; returns its exit code."""
        return self.ctl_run(*arguments).returncode

    def ctl_run(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs magnolialug-ctl and captures what it prints."""
        return subprocess.run(
            [*program("ctl"), self.kv_flag, *arguments],
            capture_output=True,
            text=True,
            check=False,
        )

    def wait(self, condition) -> None:
        """Waits for a condition, and fails if it does not come true."""
        limit = time.monotonic() + _WAIT_S
        while not condition():
            if time.monotonic() > limit:
                raise AssertionError("waited in vain")
            time.sleep(0.05)

    def _ready(self) -> bool:
        return all(get(f"{url}/healthz")[0] == 200 for url in self.entries)

    def _three_endpoints(self, text: str) -> str:
        tables = re.split(r"\n(?=\[endpoints\.)", text)
        wanted = ("[endpoints.model-1]", "[endpoints.model-2]")
        kept = [
            table
            for table in tables
            if table.startswith((*wanted, "[endpoints.booking-1]"))
        ]
        fresh = [
            re.sub(
                r'port = \d+\ntarget = "[^"]*"',
                f"port = {free_port()}\n"
                f'target = "http://127.0.0.1:{free_port()}"',
                table,
            )
            for table in kept
        ]
        return "\n".join(fresh)
