"""One attempt's answer, kept until its callers have it."""

from collections.abc import Callable

from magnolialug.attempt import Attempt
from magnolialug.wire.link import Link
from magnolialug.wire.messages import Message, Token

__all__ = ["WINDOW", "Answer"]

WINDOW = 64


class _Listener:
    def __init__(self, link: Link, after_seq: int):
        self.link = link
        self.sent = after_seq
        self.acked = after_seq
        self.ended = False


class Answer:
    """Pieces so far, and the connections that want them.

    Each listener is sent at most WINDOW pieces beyond its last ack. When
    every listener is behind by more than another WINDOW, the run is paused,
    so a slow caller fills no queue here, in the entry or in a socket. A
    listener that leaves changes nothing: the pieces are kept for its return.

    Attributes:
      base: pieces of the answer that an earlier attempt delivered.
      final: the message that ends the answer, once known.
    """

    def __init__(self, attempt: Attempt, base: int):
        self.attempt = attempt
        self.base = base
        self.pieces: list[str] = []
        self.size = 0
        self.final: Message | None = None
        self.on_pause: Callable[[], None] = lambda: None
        self.on_resume: Callable[[], None] = lambda: None
        self._listeners: list[_Listener] = []
        self._paused = False

    @property
    def last_seq(self) -> int:
        """The number of the last piece there is."""
        return self.base + len(self.pieces)

    @property
    def wanted(self) -> bool:
        """Whether any connection listens."""
        return bool(self._listeners)

    @property
    def delivered(self) -> bool:
        """Whether nothing is left to send or to be acknowledged."""
        if self.final is None:
            return False
        return all(li.acked >= self.last_seq for li in self._listeners)

    def links(self) -> list[Link]:
        """Returns the connections that listen."""
        return [listener.link for listener in self._listeners]

    def attach(self, link: Link, after_seq: int) -> None:
        """Sends the answer after a piece to a connection from now on."""
        self.detach(link)
        self._listeners.append(_Listener(link, max(after_seq, self.base)))
        self._pump()

    def detach(self, link: Link) -> None:
        """Forgets a connection."""
        self._listeners = [li for li in self._listeners if li.link != link]
        self._balance()

    def ack(self, link: Link, seq: int) -> None:
        """Takes a listener's word that it has everything up to a piece."""
        for listener in self._listeners:
            if listener.link is link:
                listener.acked = max(listener.acked, seq)
        self._pump()

    def add(self, text: str) -> None:
        """Appends a piece."""
        self.pieces.append(text)
        self.size += len(text)
        self._pump()

    def finish(self, final: Message) -> None:
        """Ends the answer."""
        self.final = final
        self._pump()

    def _pump(self) -> None:
        for listener in self._listeners:
            self._send(listener)
        self._balance()

    def _send(self, listener: _Listener) -> None:
        while listener.sent < min(self.last_seq, listener.acked + WINDOW):
            text = self.pieces[listener.sent - self.base]
            listener.sent += 1
            listener.link.send(Token(self.attempt, listener.sent, text))
        whole = self.final and listener.sent == self.last_seq
        if whole and not listener.ended:
            listener.ended = True
            listener.link.send(self.final)

    def _balance(self) -> None:
        sent = [listener.sent for listener in self._listeners]
        behind = bool(sent) and self.last_seq - max(sent) >= WINDOW
        if behind and not self._paused:
            self._paused = True
            self.on_pause()
        elif not behind and self._paused:
            self._paused = False
            self.on_resume()
