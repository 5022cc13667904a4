"""Entries, a KV and sidecars in memory, on one virtual clock.

The network is under the test's hand: each message is one write, and the
test decides for every write what becomes of it.
"""

import enum
import itertools
import pathlib
from collections.abc import Callable
from random import Random

import msgspec
from loguru import logger
from twisted.internet.defer import Deferred, ensureDeferred, fail
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure as TwistedFailure

from magnolialug.config.current import Current, make_doc
from magnolialug.config.deployment import to_text
from magnolialug.config.folder import read_folder
from magnolialug.entry.app import EntryApp
from magnolialug.entry.call import PromptCall
from magnolialug.entry.retryloop import Served
from magnolialug.policy.blocks import prompt_root
from magnolialug.policy.storedblock import Tier
from magnolialug.result import Failure
from magnolialug.sidecar.app import SidecarApp
from magnolialug.standin.engine import EngineSpec, EngineStandin
from magnolialug.standin.kv import KvStore
from magnolialug.standin.plain import PlainStandin
from magnolialug.standin.store import StoreSpec, StoreStandin
from magnolialug.wire.link import Link

logger.remove()

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "tiszavirag"
LATENCY_S = 0.001
STEP_S = 0.01


class Fate(enum.Enum):
    """What becomes of one write."""

    DELIVER = "deliver"
    HOLD = "hold"
    SILENCE = "silence"
    CUT_BEFORE = "cut before"
    CUT_AFTER = "cut after"


class MemoryTransport:
    """One end of a connection."""

    disconnecting = False

    def __init__(self, net: "Network", link: Link):
        self.net = net
        self.link = link
        self.peer: MemoryTransport | None = None
        self.open = True
        self.silent = False
        self.log: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Sends one message."""
        if not self.open:
            return
        self.log.append(data)
        fate = self.net.fate(self, data)
        if fate is Fate.SILENCE:
            self.silent = self.peer.silent = True
        if fate is Fate.CUT_BEFORE:
            self.net.cut(self)
            return
        if fate is Fate.DELIVER or fate is Fate.CUT_AFTER:
            self.net.deliver(self.peer, data)
        if fate is Fate.CUT_AFTER:
            self.net.clock.callLater(2 * LATENCY_S, self.net.cut, self)

    def loseConnection(self) -> None:
        """Closes in order."""
        self.net.clock.callLater(2 * LATENCY_S, self.net.cut, self)

    def abortConnection(self) -> None:
        """Closes at once; a silent peer never hears of it."""
        self.net.close(self)
        if not self.silent:
            self.net.clock.callLater(LATENCY_S, self.net.close, self.peer)


class Network:
    """All connections, and what happens to them.

    Attributes:
      fate: asked for each write.
      unreachable: endpoints that refuse connections.
      paused: process names whose incoming messages wait.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.fate: Callable[[MemoryTransport, bytes], Fate] = (
            lambda transport, data: Fate.DELIVER
        )
        self.unreachable: set[str] = set()
        self.transports: list[MemoryTransport] = []

    def connect(self, client: Link, server: Link) -> None:
        """Joins two links."""
        ends = [MemoryTransport(self, link) for link in (client, server)]
        ends[0].peer, ends[1].peer = ends[1], ends[0]
        self.transports += ends
        server.makeConnection(ends[1])
        client.makeConnection(ends[0])

    def deliver(self, transport: MemoryTransport, data: bytes) -> None:
        """Brings bytes to an end after the latency."""
        self.clock.callLater(LATENCY_S, self._arrive, transport, data)

    def cut(self, transport: MemoryTransport) -> None:
        """Ends a connection so that both ends notice."""
        self.close(transport)
        self.close(transport.peer)

    def close(self, transport: MemoryTransport) -> None:
        """Ends a connection at one end."""
        if not transport.open:
            return
        transport.open = False
        if transport in self.transports:
            self.transports.remove(transport)
        transport.link.connectionLost(TwistedFailure(ConnectionDone()))

    def silence(self) -> None:
        """Makes every open connection lose all further messages."""
        for transport in self.transports:
            transport.silent = True

    def _arrive(self, transport: MemoryTransport, data: bytes) -> None:
        if transport.open and not transport.silent:
            transport.link.dataReceived(data)


def remember_dispatches(net: Network) -> list:
    """Lets everything pass, and returns what will hold the dispatches."""
    seen: list[tuple[MemoryTransport, bytes]] = []

    def remember(transport: MemoryTransport, data: bytes) -> Fate:
        if b"dispatch" in data:
            seen.append((transport.peer, data))
        return Fate.DELIVER

    net.fate = remember
    return seen


class Gathered:
    """A sink that remembers."""

    def __init__(self) -> None:
        self.gone = False
        self.request_id = ""
        self.ids: list[str] = []
        self.pieces: list[tuple[int, str]] = []
        self.gate: Deferred | None = None

    def set_request_id(self, request_id) -> None:
        self.request_id = request_id
        self.ids.append(request_id)

    async def write_piece(self, seq: int, text: str) -> None:
        self.pieces.append((seq, text))
        if self.gate is not None:
            await self.gate

    @property
    def text(self) -> str:
        return "".join(text for _, text in self.pieces)


class Outcome(msgspec.Struct, eq=False):
    """One caller's call: its sink and, once it ended, its result."""

    call: PromptCall
    sink: object
    result: Served | Failure | None = None
    fut: object = None


class Cluster:
    """A small deployment: two model endpoints and two booking endpoints."""

    def __init__(self, seed: int = 1, entries: int = 2, **sizes):
        self.clock = Clock()
        self.net = Network(self.clock)
        self.kv = KvStore(self.clock)
        self.random = Random(seed)
        self.numbers = itertools.count(1)
        self.text = to_text(_deployment(**sizes))
        self.version = 1
        self.engines: dict = {}
        self.stores = {"cache-1": self._store()}
        self.sidecars: dict[str, SidecarApp] = {}
        self.entries: list[EntryApp] = []
        self.outcomes: list[Outcome] = []
        self.handed: list[str] = []
        for name, spec in _deployment(**sizes).endpoints.items():
            plain = spec.service == "booking"
            self.engines[name] = (
                PlainStandin(self.clock)
                if plain
                else EngineStandin(self.clock, EngineSpec(piece_s=0.005))
            )
            self.start_sidecar(name)
        for _ in range(entries):
            self.entries.append(self.new_entry())
        self.run(0.1)

    @property
    def runs(self) -> int:
        """How often plain services ran anything."""
        return sum(
            sum(e.runs.values())
            for e in self.engines.values()
            if isinstance(e, PlainStandin)
        )

    def current(self) -> Current:
        current = Current()
        current.offer(make_doc(self.version, self.text))
        return current

    def start_sidecar(self, name: str) -> None:
        """Starts a sidecar anew; an older one is gone with its memory."""
        old = self.sidecars.pop(name, None)
        if old:
            for link in list(old._links):
                self.net.cut(link.transport)
        app = SidecarApp(
            name,
            self.current(),
            self.engines[name],
            self.stores,
            self.clock,
            self.clock.seconds,
            incarnation=f"{name}-{next(self.numbers)}",
        )
        app.start()
        self.sidecars[name] = app
        hand_over = app.gate.hand_over

        def noted(attempt, now) -> bool:
            passed = hand_over(attempt, now)
            if passed:
                self.handed.append(attempt.request_id)
            return passed

        app.gate.hand_over = noted

    def new_entry(self) -> EntryApp:
        """Starts an entry."""
        app = EntryApp(
            f"entry-{next(self.numbers)}",
            "tokaj-dock",
            self.current(),
            self.kv,
            self.clock,
            Random(self.random.random()),
            self._connect,
            new_hex=lambda: f"{next(self.numbers):032x}",
        )
        app.start()
        return app

    def kill_entry(self, number: int) -> None:
        """Ends an entry without a word and puts a fresh one in its place."""
        old = self.entries[number]
        for outcome in self.outcomes:
            if outcome.result is None and outcome.entry is old:
                outcome.entry = None
        for upstream in old.fleet.upstreams.values():
            upstream.mailboxes.clear()
            link = upstream._link
            upstream.stop()
            if link:
                self.net.cut(link.transport)
        self.entries[number] = self.new_entry()

    def call(self, entry: int, call: PromptCall) -> Outcome:
        """Makes a call; the outcome is filled in as the clock runs."""
        outcome = _Tracked(call, Gathered())
        outcome.entry = app = self.entries[entry]
        outcome.fut = ensureDeferred(app.serve(call, outcome.sink))
        outcome.fut.addCallbacks(
            lambda result: setattr(outcome, "result", result),
            lambda reason: setattr(outcome, "error", reason),
        )
        self.outcomes.append(outcome)
        return outcome

    def booking(self, key: str, body: str = '{"canoe": 1}', team="members"):
        """Returns a non-idempotent call."""
        return self._make(team, "booking", "book", "", body, 1, key)

    def prompt(self, body: str, max_tokens: int = 8, team="members", **extra):
        """Returns an idempotent prompt."""
        kind = extra.pop("kind", "renter-question")
        return self._make(
            team, "language", kind, "guide", body, max_tokens, "", **extra
        )

    def run(self, seconds: float, step_s: float = STEP_S) -> None:
        """Lets virtual time pass."""
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)

    def finish(self, outcome: Outcome, limit_s: float = 60.0):
        """Runs until a call has its result, and returns that."""
        while outcome.result is None and limit_s > 0:
            if getattr(outcome, "error", None):
                outcome.error.raiseException()
            self.run(0.1)
            limit_s -= 0.1
        return outcome.result

    def _make(self, team, service, kind, model, body, most, key, wait=None):
        deployment = self.entries[0].current.deployment
        spec = deployment.services[service].kinds[kind]
        now = self.clock.seconds()
        weights = deployment.models[model].weights if model else ""
        return PromptCall(
            team=team,
            service=service,
            kind_name=kind,
            kind=spec,
            model=model,
            weights=weights,
            body=body,
            max_tokens=most,
            root=prompt_root(team, body),
            key=key,
            deadline=now + (wait or spec.max_wait_s),
            arrived=now,
        )

    def _connect(self, endpoint: str) -> Deferred:
        if endpoint in self.net.unreachable or endpoint not in self.sidecars:
            return fail(ConnectionRefusedError())
        client, server = Link(self.clock), Link(self.clock)
        fut: Deferred = Deferred()

        def joined() -> None:
            self.sidecars[endpoint].accept(server)
            self.net.connect(client, server)
            fut.callback(client)

        self.clock.callLater(LATENCY_S, joined)
        return fut

    def _store(self) -> StoreStandin:
        return StoreStandin(
            self.clock,
            StoreSpec(
                {Tier.MEMORY: 1_000_000, Tier.DISK: 4_000_000},
                {Tier.MEMORY: 1e8, Tier.DISK: 1e7},
            ),
        )


class _Tracked(Outcome, eq=False, dict=True):
    """An outcome whose entry may die."""


def _deployment(models: int = 2, bookings: int = 2, limits: dict | None = None):
    whole = read_folder(str(EXAMPLE))
    wanted = [f"model-{n + 1}" for n in range(models)]
    wanted += [f"booking-{n + 1}" for n in range(bookings)]
    return msgspec.structs.replace(
        whole,
        endpoints={name: whole.endpoints[name] for name in wanted},
        stores={"cache-1": whole.stores["cache-1"]},
        limits=msgspec.structs.replace(whole.limits, **(limits or {})),
    )
