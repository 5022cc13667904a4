"""An entry's connection to one sidecar."""

from collections.abc import Callable
from random import Random

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.attempt import Attempt
from magnolialug.entry.mailbox import Mailbox
from magnolialug.events import Event, emit, explain
from magnolialug.ids import EndpointId, Incarnation
from magnolialug.policy.retry import Backoff
from magnolialug.result import Code, Failure, failed
from magnolialug.timing import TIMED_OUT, within
from magnolialug.wire import messages as msg
from magnolialug.wire.link import Link

__all__ = ["LinkLost", "Upstream", "UpstreamCallbacks"]

_CONNECT_S = 2.0


class LinkLost(msgspec.Struct, frozen=True):
    """Put into every mailbox when the connection ends."""

    failure: Failure


class UpstreamCallbacks(msgspec.Struct, frozen=True):
    """Callbacks from an upstream to its entry.

    Attributes:
      connect: opens a link to the endpoint's sidecar.
      hello: returns the first message.
      on_status: receives each status.
      on_up: receives the upstream when its connection is ready.
      on_down: receives the upstream when its connection is lost.
      on_config: receives configuration messages and the link they came on.
    """

    connect: Callable[[EndpointId], Deferred]
    hello: Callable[[], msg.Hello]
    ping: Callable[[], msg.Ping]
    on_up: Callable[["Upstream"], None]
    on_status: Callable[["Upstream", msg.Status], None]
    on_down: Callable[["Upstream", Failure], None]
    on_config: Callable[[Link, msg.Message], None]


class Upstream:
    """Keeps a connection open and delivers its messages by request.

    Attributes:
      incarnation: the sidecar start of the last connection.
      clock_offset: the sidecar's clock minus this process's, in seconds.
      mailboxes: the mailboxes of the tasks that wait for an answer, by
        request id.
    """

    def __init__(
        self,
        endpoint: EndpointId,
        clock: IReactorTime,
        random: Random,
        callbacks: UpstreamCallbacks,
    ):
        self.endpoint = endpoint
        self.incarnation = Incarnation("")
        self.clock_offset = 0.0
        self.mailboxes: dict[str, list[Mailbox]] = {}
        self._clock = clock
        self._random = random
        self._callbacks = callbacks
        self._link: Link | None = None
        self._ready = False
        self._waiters: list[Deferred] = []
        self._backoff = Backoff()
        self._timer = None
        self._stopped = False

    @property
    def ready(self) -> bool:
        """Whether a message can be sent now."""
        return self._ready

    def start(self) -> None:
        """Opens the connection and keeps it open until `stop`."""
        self._timer = None
        fut = self._callbacks.connect(self.endpoint)
        fut.addCallbacks(self._connected, self._unreachable)

    def retire(self) -> None:
        """Keeps the current connection, but does not reconnect."""
        self._stopped = True
        if self._timer and self._timer.active():
            self._timer.cancel()

    def stop(self) -> None:
        """Closes the connection for good, and sends nothing more on it."""
        self.retire()
        self._ready = False
        if self._link:
            self._link.close()

    def born(self) -> float:
        """Returns the estimated sidecar clock, never ahead of it."""
        return self._clock.seconds() + self.clock_offset

    def send(self, message: msg.Message) -> bool:
        """Sends a message; false if there is no working connection."""
        if not self._ready:
            return False
        self._link.send(message)
        return True

    async def wait_ready(self, timeout_s: float) -> bool:
        """Waits until a message can be sent."""
        if self._ready:
            return True
        fut: Deferred = Deferred()
        self._waiters.append(fut)
        result = await within(self._clock, timeout_s, fut)
        if fut in self._waiters:
            self._waiters.remove(fut)
        return result is not TIMED_OUT

    def open_mailbox(self, request_id: str) -> Mailbox:
        """Returns a new mailbox for the messages of a request."""
        mailbox: Mailbox = Mailbox(self._clock)
        self.mailboxes.setdefault(request_id, []).append(mailbox)
        return mailbox

    def close_mailbox(self, request_id: str, mailbox: Mailbox) -> None:
        """Removes a mailbox."""
        mailboxes = self.mailboxes.get(request_id, [])
        if mailbox in mailboxes:
            mailboxes.remove(mailbox)
        if not mailboxes:
            self.mailboxes.pop(request_id, None)

    def _connected(self, link: Link) -> None:
        self._link = link
        if self._stopped:
            link.close()
            return
        link.on_message = self._received
        link.on_down = self._lost
        link.heartbeat = self._callbacks.ping
        link.send(self._callbacks.hello())

    def _unreachable(self, reason) -> None:
        if reason.check(CancelledError):
            return
        failure = failed(Code.CONNECTION_REFUSED, reason.getErrorMessage())
        self._down(failure)

    def _lost(self, failure: Failure) -> None:
        self._link = None
        self._down(failure)

    def _down(self, failure: Failure) -> None:
        was_ready, self._ready = self._ready, False
        if was_ready:
            emit(Event.LINK_DOWN, peer=self.endpoint, **explain(failure))
        self._callbacks.on_down(self, failure)
        for mailboxes in list(self.mailboxes.values()):
            for mailbox in list(mailboxes):
                mailbox.put(LinkLost(failure))
        if not self._stopped:
            pause = self._backoff.next(self._random)
            self._timer = self._clock.callLater(pause, self.start)

    def _received(self, message: msg.Message) -> None:
        if isinstance(message, msg.Welcome):
            self._welcome(message)
        elif isinstance(message, msg.Status):
            self._callbacks.on_status(self, message)
        elif isinstance(message, msg.ConfigDoc | msg.ConfigWant):
            self._callbacks.on_config(self._link, message)
        elif isinstance(message, _REQUEST_MESSAGES):
            self._deliver(message.attempt, message)
        else:
            self._link.drop(
                failed(
                    Code.FRAME_ILL_TYPED,
                    "a sidecar must not send this type of message",
                    value=type(message).__name__,
                )
            )

    def _welcome(self, welcome: msg.Welcome) -> None:
        self.incarnation = Incarnation(welcome.incarnation)
        self.clock_offset = welcome.now - self._clock.seconds()
        self._ready = True
        self._backoff = Backoff()
        emit(Event.LINK_UP, peer=self.endpoint)
        self._callbacks.on_up(self)
        waiters, self._waiters = self._waiters, []
        for fut in waiters:
            fut.callback(True)

    def _deliver(self, attempt: Attempt, message: msg.Message) -> None:
        """Delivers a message to the mailboxes of its request.

        Late messages of a request that has no mailbox any more are dropped.
        """
        for mailbox in list(self.mailboxes.get(attempt.request_id, ())):
            if not mailbox.is_full:
                mailbox.put(message)
            elif self._link is not None:
                name = type(message).__name__
                self._link.drop(failed(Code.WINDOW_EXCEEDED, field=name))


_REQUEST_MESSAGES = (msg.Token, msg.Done, msg.Refused, msg.Outcome)
