"""A managed store of cache parts on the platform's wire."""

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.standin.endpoint import EndpointStandin, Received

__all__ = ["PartStoreStandin"]


class _Part(msgspec.Struct):
    tokens: int
    whole: bool


class PartStoreStandin(EndpointStandin):
    """Holds parts until it restarts; tells of whole ones.

    Attributes:
      torn_reads: parts that were read while they were being written.
      reads: how many parts were read whole.
      mute: polls are not answered.
      lose_events: how many further events are never told.
      most_polls: polls that wait at once; more are refused.
      refused: how many were.
      freed: parts that it was told to free and held.
    """

    def __init__(
        self, clock: IReactorTime, instance: str, capacity: int = 1_000_000
    ):
        super().__init__(clock, instance)
        self.capacity = capacity
        self.epoch = 1
        self.parts: dict[tuple[str, str], _Part] = {}
        self.torn_reads: list[tuple[str, str]] = []
        self.reads = 0
        self.mute = False
        self.lose_events = 0
        self.most_polls = 12
        self.refused = 0
        self.freed: list[tuple[str, str]] = []
        self._waiting = 0
        self._events: list[list] = []

    @property
    def used(self) -> int:
        """Tokens that parts take, also unfinished ones."""
        return sum(part.tokens for part in self.parts.values())

    def begin(self, key: tuple[str, str], tokens: int) -> bool:
        """Reserves the space of a part; false if it is lost."""
        if key in self.parts or self.used + tokens > self.capacity:
            return False
        self.parts[key] = _Part(tokens, False)
        return True

    def finish(self, key: tuple[str, str], epoch: int) -> None:
        """Makes a part whole, if the store did not restart meanwhile."""
        part = self.parts.get(key)
        if part is None or epoch != self.epoch:
            return
        part.whole = True
        number = len(self._events) + 1
        row = [number, "+", key[0], key[1], part.tokens, "m"]
        if self.lose_events:
            self.lose_events -= 1
            row = [number]
        self._events.append(row)

    def read(self, key: tuple[str, str]) -> bool:
        """Reads a part as an engine does: nothing is checked."""
        part = self.parts.get(key)
        if part is None:
            return False
        if not part.whole:
            self.torn_reads.append(key)
        self.reads += 1
        return True

    def restart(self) -> None:
        """Comes back empty."""
        self.epoch += 1
        self.parts.clear()
        self._events.clear()

    def answer(self, conn, req: Received) -> None:
        """Answers a poll, a list, or a call to free parts."""
        if self.mute:
            return
        if req.target == "/kv-free":
            conn.reply(req, self._free(msgspec.json.decode(req.body)), b"{}")
            return
        if req.target == "/kv-list":
            conn.reply(req, 200, self.said(self._list()))
            return
        since = int(req.target.partition("since=")[2])
        wait_s = int(req.headers.get("wait-ms", "0")) / 1000
        if self._waiting >= self.most_polls:
            self.refused += 1
            conn.reply(req, 429, b"")
            return
        self._waiting += 1
        self._poll(conn, req, since, self.clock.seconds() + wait_s)

    def _poll(self, conn, req: Received, since: int, until: float) -> None:
        if conn.current is not req:
            self._waiting -= 1
            return
        news = [row for row in self._events[since:] if len(row) > 1]
        if not news and self.clock.seconds() < until:
            self.clock.callLater(0.02, self._poll, conn, req, since, until)
            return
        self._waiting -= 1
        body = {
            "epoch": self.epoch,
            "next": len(self._events),
            "lost": since > len(self._events),
            "events": news,
            "clock_ms": self._clock_ms(),
        }
        conn.reply(req, 200, self.said(body))

    def _free(self, body: dict) -> int:
        """Frees parts; returns the status."""
        late = body["until_ms"] < self._clock_ms()
        if body["epoch"] != self.epoch or late:
            return 409
        for salt, name in body["parts"]:
            if self.parts.pop((salt, name), None) is None:
                continue
            self.freed.append((salt, name))
            number = len(self._events) + 1
            self._events.append([number, "-", salt, name, 0, "m"])
        return 200

    def _clock_ms(self) -> float:
        return self.clock.seconds() * 1000 + 5000

    def _list(self) -> dict:
        held = [
            [salt, name, part.tokens, "m"]
            for (salt, name), part in self.parts.items()
            if part.whole
        ]
        return {
            "epoch": self.epoch,
            "next": len(self._events),
            "held": held,
            "partial": [
                [salt, name, part.tokens // 2, part.tokens]
                for (salt, name), part in self.parts.items()
                if not part.whole
            ],
        }
