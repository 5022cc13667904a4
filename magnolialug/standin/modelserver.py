"""A model engine on the platform's wire: streams, versions, orders, cache."""

import enum
from collections.abc import Callable
from functools import partial

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.reader import Framing
from magnolialug.standin.endpoint import EndpointStandin, Fault, Received
from magnolialug.standin.partstore import PartStoreStandin
from magnolialug.standin.prefill import (
    PartKey,
    Prefill,
    prompt_parts,
    unread_tokens,
)

__all__ = ["BreakOff", "ModelServerStandin"]

# Steps of decoding between two events.
_STEPS_PER_EVENT = 7


class BreakOff(enum.Enum):
    """How a stream that breaks off ends."""

    RESET = "by a reset"
    CLOSE = "by an orderly close"
    FRAMED = "framed as if it were whole"


class _Run(msgspec.Struct):
    conn: object
    req: Received
    fault: Fault
    next_event: int = 1


class ModelServerStandin(EndpointStandin):
    """Streams events, takes orders, and reports.

    Attributes:
      events: how many events an answer has.
      gap_s: pause between events.
      pace: how many times as long as usual everything takes, for good.
      spell: the same, for a moment.
      in_spells: whether such moments have begun and more may come.
      prefill: reads prompts before they are answered, and slows the streams
        under way; None if each prompt takes `work_s`.
      version: of the weights it has.
      load_s: how long it takes new weights.
      accepted: orders that it has accepted.
      orders: every order that arrived.
      late_orders: seconds after which the next orders are carried out,
        unanswered.
      save_s: how long it takes to save a part.
      stores: the stores it can reach, by address.
      stop_after: events after which the next runs break off, one each.
      in_event: whether they break off inside the next event.
      break_off: how they end.
      framing: how streams tell their end.
      content_type: of streams, "" for none.
      line_end: ends the lines of events.
      error_status: of the answers that a fault makes errors.
      error_type: their content type.
      on_break_off: is called when a run breaks off.
    """

    def __init__(
        self,
        clock: IReactorTime,
        instance: str,
        model: str = "m",
        work_s: float = 0.05,
    ):
        super().__init__(clock, instance, work_s)
        self.model = model
        self.version = 1
        self.named = 1000
        self.load_s = 1.3
        self.events = 4
        self.gap_s = 0.01
        self.pace = 1.0
        self.spell = 1.0
        self.in_spells = False
        self.prefill: Prefill | None = None
        self._known_parts: set[PartKey] = set()
        self.accepted = 0
        self.fence = 0
        self.busy = False
        self.orders: list[dict] = []
        self.late_orders: list[float] = []
        self.stop_after: list[int] = []
        self.in_event = False
        self.break_off = BreakOff.RESET
        self.framing = Framing.CHUNKS
        self.content_type = "text/event-stream"
        self.line_end = b"\n"
        self.error_status = 500
        self.error_type = "text/plain"
        self.on_break_off: Callable[[], None] = lambda: None
        self.save_s = 0.1
        self.stores: dict[str, PartStoreStandin] = {}

    def answer(self, conn, req: Received) -> None:
        """Answers a request, a report or an order."""
        if req.target == "/report":
            conn.reply(req, 200, self.said(self._report()))
        elif req.target == "/order":
            self._order(conn, req)
        else:
            self._prompt(conn, req)

    def _prompt(self, conn, req: Received) -> None:
        instance = req.headers.get("x-expect-instance", self.instance)
        version = req.headers.get("x-expect-version", str(self.version))
        fault = self.next_fault()
        if instance != self.instance or version != str(self.version):
            conn.reply(req, 421, b"", [("X-Instance-Id", self.instance)])
        elif self.busy or self.refuses or fault is Fault.SHED:
            conn.refuse(req)
        else:
            self.ran[req.request_id] += 1
            after = int(req.headers.get("last-event-id", "0"))
            run = _Run(conn, req, fault, after + 1)
            self._move_cache(req)
            self._read(run)

    def start_again(self, born_ms: int) -> None:
        """Starts again with its weights, and with nothing else of before."""
        super().start_again(born_ms)
        self.accepted = 0
        self.fence = 0
        self.busy = False
        self._known_parts.clear()

    def reads_in_chunks(self, tokens_per_s: float) -> None:
        """Lets prompts take as long as the tokens that it has not read."""
        self.prefill = Prefill(self.clock, tokens_per_s, self._slowed)

    def _slowed(self, seconds: float) -> float:
        """Returns how long something takes at its present pace."""
        return seconds * self.pace * self.spell

    def _read(self, run: _Run) -> None:
        if self.prefill is None:
            work_s = self._slowed(self.work_s)
            self.clock.callLater(work_s, self._begin, run)
            return
        headers = run.req.headers
        self.prefill.add(
            unread_tokens(headers, self._known_parts),
            int(headers.get("x-request-priority", "0")),
            lambda: run.conn.current is run.req,
            partial(self._begin_read, run),
        )

    def _begin_read(self, run: _Run) -> None:
        self._known_parts |= {part for part, _ in prompt_parts(run.req.headers)}
        self._begin(run)

    def text(self, req: Received, number: int) -> bytes:
        """Returns an event's data; to be overridden."""
        return b"word%d" % number

    def _move_cache(self, req: Received) -> None:
        """Fetches and saves the parts that a request names stores for."""
        salt = req.headers.get("x-cache-salt", "")
        parts = req.headers.get("x-prompt-prefix", "").split(",")
        fetch = req.headers.get("x-kv-fetch-from", "").split(",")
        save = req.headers.get("x-kv-save-to", "").split(",")
        until_ms = float(req.headers.get("x-kv-until", "inf"))
        for row, source in zip(parts, fetch, strict=False):
            name = row.partition(":")[0]
            in_time = self.clock.seconds() * 1000 + 5000 < until_ms
            if source in self.stores and in_time:
                self.stores[source].read((salt, name))
        for row, target in zip(parts, save, strict=False):
            name, _, tokens = row.partition(":")
            if target in self.stores:
                self._save(self.stores[target], (salt, name), int(tokens))

    def _save(self, store, key: tuple[str, str], tokens: int) -> None:
        if store.begin(key, tokens):
            self.clock.callLater(self.save_s, store.finish, key, store.epoch)

    def _begin(self, run: _Run) -> None:
        if run.conn.current is not run.req:
            return
        if run.fault is Fault.MUTE:
            return
        if run.fault is Fault.ERROR:
            headers = [("Content-Type", self.error_type)]
            run.conn.reply(run.req, self.error_status, b"failed", headers)
            return
        lines = (
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {run.req.request_id}",
            f"X-Response-Stamp: stamp.{self.instance}",
            f"X-Weight-Versions: {self.version}",
            *self._body_lines(run),
            *(f"{name}: {value}" for name, value in self.own_headers()),
        )
        run.conn.send("\r\n".join(lines).encode() + b"\r\n\r\n")
        self._event(run)

    def _body_lines(self, run: _Run) -> list[str]:
        lines = []
        if self.content_type:
            lines.append(f"Content-Type: {self.content_type}")
        if self.framing is Framing.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
        if self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {self._length(run)}")
        return lines

    def _length(self, run: _Run) -> int:
        numbers = range(run.next_event, self.events + 1)
        if self.stop_after and self.break_off is BreakOff.FRAMED:
            numbers = range(run.next_event, self.stop_after[0] + 1)
        length = sum(len(self._event_bytes(run, n)) for n in numbers)
        if self.stop_after and self.break_off is BreakOff.FRAMED:
            length += len(self._partial_event(run, self.stop_after[0] + 1))
        return length

    def _event(self, run: _Run) -> None:
        if run.conn.current is not run.req:
            return
        if self.stop_after and run.next_event > self.stop_after[0]:
            self.stop_after.pop(0)
            self._break_off(run)
            return
        if run.next_event > self.events:
            self._finish(run)
            return
        self._write(run, self._event_bytes(run, run.next_event))
        run.next_event += 1
        self.clock.callLater(self._until_next_s(), self._event, run)

    def _until_next_s(self) -> float:
        """Returns the pause before the next event."""
        if self.prefill is None:
            return self._slowed(self.gap_s)
        steps_s = _STEPS_PER_EVENT * self.prefill.step_s
        return self._slowed(max(self.gap_s, steps_s))

    def _event_bytes(self, run: _Run, number: int) -> bytes:
        lines = (b"id: %d" % number, b"data: " + self.text(run.req, number))
        return self.line_end.join((*lines, b"", b""))

    def _partial_event(self, run: _Run, number: int) -> bytes:
        lines = (b"id: %d" % number, b"data: wo")
        return self.line_end.join(lines) if self.in_event else b""

    def _write(self, run: _Run, data: bytes) -> None:
        if self.framing is Framing.CHUNKS:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        run.conn.send(data)

    def _finish(self, run: _Run) -> None:
        """Ends a stream as complete."""
        run.conn.current = None
        if self.framing is Framing.CHUNKS:
            run.conn.send(b"0\r\n\r\n")
        elif self.framing is Framing.CLOSE:
            run.conn.close()

    def _break_off(self, run: _Run) -> None:
        if self.in_event:
            self._write(run, self._partial_event(run, run.next_event))
        run.conn.current = None
        if self.break_off is BreakOff.FRAMED:
            self._finish(run)
        elif self.break_off is BreakOff.CLOSE:
            run.conn.close()
        else:
            self.clock.callLater(0.001, run.conn.transport.abortConnection)
        self.on_break_off()

    def _report(self) -> dict:
        return {
            "sequence": self.accepted,
            "busy": self.busy,
            "models": [{"name": self.model, "version": self.version}],
            "waiting": 0,
            "running": 0,
        }

    def _order(self, conn, req: Received) -> None:
        order = msgspec.json.decode(req.body)
        self.orders.append(order)
        if self.late_orders:
            self.clock.callLater(self.late_orders.pop(0), self._carry, order)
            return
        conn.reply(req, self._carry(order), b"{}")

    def _carry(self, order: dict) -> int:
        """Carries an order out if it may be; returns the status."""
        if order["fencingToken"] < self.fence:
            return 412
        self.fence = order["fencingToken"]
        if order["version"] == self.version:
            return 200
        if self.busy or order["expected"] != self.accepted:
            return 409
        if order["version"] > self.named:
            return 400
        self.accepted += 1
        self.busy = True
        self.clock.callLater(
            self.load_s, self._loaded, order["version"], self.born_ms
        )
        return 202

    def _loaded(self, version: int, born_ms: int) -> None:
        if born_ms == self.born_ms:
            self.busy = False
            self.version = version
