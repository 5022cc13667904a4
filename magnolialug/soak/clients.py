"""Callers that keep using a connection until it is gone."""

import re
from collections.abc import Callable
from random import Random

import msgspec
from twisted.internet.protocol import ClientFactory

from magnolialug.soak.historychecker import (
    Form,
    HistoryChecker,
    Sent,
    event_ids,
)
from magnolialug.soak.machine import Machine
from magnolialug.soak.proxy import Proxy
from magnolialug.standin.caller import Answer, Caller, request

__all__ = ["TEAMS", "Client"]

TEAMS = {"key-a": "team-a", "key-b": "team-b"}
_CONNECT_S = 1.0
_THINK_S = (0.03, 0.2)
_IDLE_S = (0.5, 6.0)
_TIMEOUT = re.compile(r"timeout=(\d+)")
# A request may be on its way for this long.
_TRANSIT_S = 0.3
# A timer may be late by this much.
_TIMER_SLACK_S = 0.05
_DEADLINE_S = {
    Form.READ: 3.0,
    Form.BOOK: 3.0,
    Form.DRAFT: 6.0,
    Form.CHECK: 3.0,
    Form.LONG: 6.0,
    Form.PROBE: 1.0,
}
_SHARES = {Form.READ: 40, Form.BOOK: 25, Form.DRAFT: 20, Form.CHECK: 15}
# Callers leave with this chance while callers are impatient.
_LEAVES = 0.3
_PROMPTS = 6
_LONG_TOKENS = 16_000
# A caller that is paused looks this often whether it still is.
_PAUSE_S = 0.1


class Front:
    """A machine as callers reach it."""

    def __init__(self, machine: Machine, proxy: Proxy, address):
        self.machine = machine
        self.proxy = proxy
        self.address = address
        self.ready = False


class _LostStream(msgspec.Struct, frozen=True):
    """A stream that was cut: its caller's key, its name, its last event."""

    key: str
    began_by: str
    last_id: int


class Client:
    """One caller: asks, waits, thinks, asks again.

    Attributes:
      impatient: whether it leaves some requests early.
      hurried: whether it thinks for a tenth of the usual time.
      resumes: whether it takes up streams whose connection is lost.
      idle_share: the share of its pauses that last for seconds.
      idle_until: until when it leaves its connection idle, as far as it may.
      reliable_idle_s: returns how long a new connection may be idle and reused,
        as long as no answer names a time.
      reconnects: whether it opens a connection for each request.
      shares: how often it chooses each form of request.
      paused: whether it sends nothing for now; its connection stays.

    Args:
      new_id: returns a fresh request id.
      choose: returns the front that a new connection goes to.
      lost: is told of a request whose connection ended without an answer, and
        whether it was the first one on it.
      passed_on: is told of which endpoint's answer a machine has passed on.
    """

    def __init__(
        self,
        reactor,
        random: Random,
        history: HistoryChecker,
        new_id: Callable[[], str],
        choose: Callable[[], Front],
        lost: Callable[[Sent, Answer, bool], None],
        passed_on: Callable[[str, Sent], None],
    ):
        self.impatient = False
        self.hurried = False
        self.resumes = False
        self.reconnects = False
        self.shares = _SHARES
        self.paused = False
        self.idle_share = 0.0
        self.idle_until = 0.0
        self.reliable_idle_s: Callable[[], float] = lambda: float("inf")
        self._stream: _LostStream | None = None
        self._reactor = reactor
        self._random = random
        self._history = history
        self._new_id = new_id
        self._choose = choose
        self._lost = lost
        self._passed_on = passed_on
        self._front: Front | None = None
        self._conn: _Connection | None = None
        self._row: Sent | None = None
        self._timer = None
        self._over = False

    def start(self) -> None:
        """Begins after a short pause."""
        self._later(self._random.uniform(0, _THINK_S[1]), self._ask)

    def stop(self) -> None:
        """Sends nothing more."""
        self._over = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._conn is not None:
            self._conn.transport.abortConnection()

    def _later(self, seconds: float, call: Callable, *args) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = self._reactor.callLater(seconds, call, *args)

    def _ask(self) -> None:
        if self._over:
            return
        if self.paused:
            self._later(_PAUSE_S, self._ask)
            return
        if self._conn is not None and self._conn.has_expired:
            conn, self._conn = self._conn, None
            conn.transport.loseConnection()
        if self._conn is None:
            self._connect()
            return
        stream, self._stream = self._stream, None
        if stream is not None:
            key = stream.key
            row = self._new_row(Form.CHECK, key)
            row.resumes, row.resume_after = stream.began_by, stream.last_id
        else:
            forms, weights = list(self.shares), list(self.shares.values())
            form = self._random.choices(forms, weights)
            key = self._random.choice(list(TEAMS))
            row = self._new_row(form[0], key)
        self._row = row
        row.idle_since = self._conn.idle_since
        self._history.add(row)
        self._conn.transport.write(self._bytes(row, key))
        wait_s = row.deadline_s
        if self.impatient and self._random.random() < _LEAVES:
            wait_s = self._random.uniform(0.0, 0.2)
        self._later(wait_s, self._leave)

    def _new_row(self, form: Form, key: str) -> Sent:
        name = self._new_id()
        target = f"/{form.value}/{name}"
        method = "GET" if form is Form.READ else "POST"
        body = b"book " + name.encode() if form is Form.BOOK else b""
        return Sent(
            name,
            form,
            method,
            target,
            body,
            TEAMS[key],
            self._front.machine.name,
            self._reactor.seconds(),
            _DEADLINE_S[form],
        )

    def _bytes(self, row: Sent, key: str) -> bytes:
        prompt = self._random.randrange(_PROMPTS)
        headers = ()
        if row.form is Form.LONG:
            headers = (
                "X-Model-Name: m",
                f"X-Token-Counts: {_LONG_TOKENS},50",
                f"X-Prompt-Prefix: l{row.request_id}:{_LONG_TOKENS}",
            )
        if row.resumes:
            headers = (
                f"Last-Event-Id: {row.resume_after}",
                f"Resumes: {row.resumes}",
            )
        return request(
            row.target,
            row.request_id,
            key=key,
            method=row.method,
            body=row.body,
            deadline_ms=int(row.deadline_s * 1000),
            headers=headers,
            parts=f"a{prompt}:500,b{prompt}:2000,c{row.request_id}:500",
        )

    def _connect(self) -> None:
        self._front = self._choose()
        host, port = self._front.address
        factory = _Connecting(self)
        self._reactor.connectTCP(host, port, factory, _CONNECT_S)

    def _leave(self) -> None:
        row, self._row = self._row, None
        row.left_at = self._reactor.seconds()
        self._history.outcomes["left"] += 1
        conn, self._conn = self._conn, None
        conn.transport.abortConnection()
        self._think()

    def _think(self) -> None:
        pause = self._random.uniform(*_THINK_S)
        if self.idle_share and self._random.random() < self.idle_share:
            pause = self._random.uniform(*_IDLE_S)
        elif self.hurried:
            pause /= 10
        pause = max(pause, self.idle_until - self._reactor.seconds())
        if self._conn is not None:
            pause = min(pause, self._conn.idle_limit_s)
        self._later(pause, self._ask)

    def connected(self, conn: "_Connection") -> None:
        """Takes a connection and asks on it."""
        self._conn = conn
        conn.idle_limit_s = self.reliable_idle_s()
        conn.idle_since = self._reactor.seconds()
        self._ask()

    def _keep_stream(self, row: Sent, answer: Answer) -> None:
        """Keeps a stream that was cut, to take it up with the next request."""
        if not self.resumes or row.form is not Form.CHECK:
            return
        ids = event_ids(answer.body) or [row.resume_after]
        began_by = row.resumes or row.request_id
        key = next(key for key, team in TEAMS.items() if team == row.team)
        if ids[-1]:
            self._stream = _LostStream(key, began_by, ids[-1])

    def record_body(self, conn: "_Connection") -> None:
        """Notes when the first whole event of an answer has arrived."""
        row = self._row
        if conn is not self._conn or row is None or not row.form.streams:
            return
        if row.first_event_at is None and event_ids(conn.last.body):
            row.first_event_at = self._reactor.seconds()

    def unconnected(self) -> None:
        """Learns that there was no connection to be had."""
        self._think()

    def answered(self, conn: "_Connection", answer: Answer) -> None:
        """Takes a whole answer."""
        if conn is not self._conn:
            return
        row, self._row = self._row, None
        if row is None:
            self._history.broken("MIXED", f"nobody asked: {answer}")
            return
        self._history.answered(row, answer)
        stamp = answer.headers.get("x-response-stamp", "")
        self._passed_on(stamp.removeprefix("stamp."), row)
        conn.record_answer(answer)
        closes = answer.headers.get("connection", "") == "close"
        if closes or self.reconnects:
            self._conn = None
            conn.transport.loseConnection()
        self._think()

    def closed(self, conn: "_Connection") -> None:
        """Learns that the connection has ended."""
        if conn is not self._conn:
            return
        self._conn = None
        row, self._row = self._row, None
        if conn.broken:
            name = row.request_id if row else ""
            self._history.broken("MIXED", "bytes that are no answer", name)
        if row is not None:
            answer = conn.last if conn.begun else Answer()
            self._history.outcomes[f"{row.form.value} cut"] += 1
            if answer.status:
                self._history.answered(row, answer)
            self._lost(row, answer, not conn.answers)
            self._keep_stream(row, answer)
            row.left_at = self._reactor.seconds()
            self._think()


class _Connection(Caller):
    """A caller's connection that tells its owner what happens."""

    def __init__(self, client: Client, clock):
        super().__init__(clock)
        self.begun = False
        self.idle_since = 0.0
        self.idle_limit_s = float("inf")
        self._client = client

    @property
    def has_expired(self) -> bool:
        """Whether it has been idle for longer than it may be reused."""
        idle_s = self.clock.seconds() - self.idle_since
        return idle_s > self.idle_limit_s + _TIMER_SLACK_S

    def record_answer(self, answer: Answer) -> None:
        """Begins to be idle, for as long as the answer names, if it does."""
        self.idle_since = self.clock.seconds()
        named = _TIMEOUT.search(answer.headers.get("keep-alive", ""))
        if named is not None:
            self.idle_limit_s = max(0.0, int(named[1]) - _TRANSIT_S)

    def connectionMade(self) -> None:
        """Hands itself over."""
        self._client.connected(self)

    def on_message_begin(self) -> None:
        """Begins an answer."""
        super().on_message_begin()
        self.begun = True

    def on_body(self, data: bytes) -> None:
        """Takes a piece of an answer."""
        super().on_body(data)
        self._client.record_body(self)

    def on_message_complete(self) -> None:
        """Ends an answer."""
        super().on_message_complete()
        self.begun = False
        self._client.answered(self, self.last)

    def connectionLost(self, reason) -> None:
        """Tells its owner."""
        super().connectionLost(reason)
        self._client.closed(self)


class _Connecting(ClientFactory):
    noisy = False

    def __init__(self, client: Client):
        self._client = client

    def buildProtocol(self, addr) -> _Connection:
        return _Connection(self._client, self._client._reactor)

    def clientConnectionFailed(self, connector, reason) -> None:
        self._client.unconnected()
