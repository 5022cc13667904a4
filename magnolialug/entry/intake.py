"""Limits on requests, enforced before a request is processed."""

from io import SEEK_END, BytesIO

from twisted.internet.defer import Deferred
from twisted.web.server import Request, Site

from magnolialug.entry.boundedbody import BoundedBody
from magnolialug.entry.callermemory import CallerMemory
from magnolialug.entry.connectionlimit import ConnectionLimit, max_connections
from magnolialug.entry.headernames import bound_name_cache
from magnolialug.entry.intakechannel import IntakeChannel
from magnolialug.entry.readscheduler import ReadScheduler
from magnolialug.policy.memorybudget import (
    DEFAULT_MEMORY_MB,
    MemoryBudget,
    budget_bytes,
)
from magnolialug.result import Code, Failure, failed

__all__ = ["IntakeRequest", "make_site"]

_IDLE_TIMEOUT_S = 75


class IntakeRequest(BoundedBody, Request):
    """Buffers a body in memory, limited in size and in time.

    The limits are the site's `body_bytes` and `body_s`. Without a time limit
    a body that is sent a few bytes at a time would hold its connection and
    memory indefinitely.
    """

    _timer = None
    # Bodies are JSON, whatever their headers say.
    _parsePOSTFormSubmission = False
    _in_call = False

    def gotLength(self, length: int | None) -> None:
        """Starts the body's time limit and buffering."""
        body_s = self.channel.site.limits().body_s
        self._timer = self.channel.callLater(body_s, self._too_slow)
        super().gotLength(length)

    def requestReceived(self, command, path, version) -> None:
        """Processes a complete request."""
        self._stop_timer()
        if self.refused:
            self.release()
            return
        self.content = BytesIO(self.received.join())
        self.received.release()
        # The parser goes by the place behind the body's last byte.
        self.content.seek(0, SEEK_END)
        super().requestReceived(command, path, version)

    def connectionLost(self, reason) -> None:
        """Cancels the body's time limit, and lets go of the request."""
        self._stop_timer()
        if not self._in_call:
            self.release()
        super().connectionLost(reason)

    def finish(self) -> None:
        """Ends the response, and lets go of the request."""
        if not self._in_call:
            self.release()
        super().finish()

    def hold_until(self, done: Deferred) -> None:
        """Counts the request until its call has ended, whoever leaves."""
        self._in_call = True

        def release(result: object) -> object:
            self.release()
            return result

        done.addBoth(release)

    def refuse(self, failure: Failure) -> None:
        """Refuses the request; its further input is discarded."""
        self._stop_timer()
        super().refuse(failure)

    def _too_slow(self) -> None:
        self.refuse(failed(Code.BODY_TOO_SLOW, field="(body)"))

    def _stop_timer(self) -> None:
        if self._timer and self._timer.active():
            self._timer.cancel()


class _EntryChannel(IntakeChannel):
    """A caller's connection to an entry, which decodes and encodes bodies."""

    body_cost = 5


class _EntrySite(Site):
    """Accepts callers' connections, as many as there is room for.

    Args:
      resource: serves the requests, checks their heads and records refusals.
      limits: returns the current limits.
      memory_mb: the memory of the process.
    """

    protocol = _EntryChannel
    displayTracebacks = False

    def __init__(self, resource, limits, reactor, memory_mb: float):
        super().__init__(
            resource,
            requestFactory=IntakeRequest,
            reactor=reactor,
            timeout=_IDLE_TIMEOUT_S,
        )
        self.limits = limits
        self.check_head = resource.check_head
        self.record_refusal = resource.record_refusal
        self.clock = reactor.seconds
        self.channels: set[IntakeChannel] = set()
        self.scheduler = ReadScheduler(reactor.callLater)
        self.memory = CallerMemory(
            MemoryBudget(budget_bytes(memory_mb)),
            lambda: self.channels,
            self.clock,
            lambda: resource.record_gave_way("memory"),
        )
        self._connections = ConnectionLimit(
            self.channels,
            max_connections(None),
            self.clock,
            lambda: resource.record_gave_way("descriptors"),
        )

    def tick(self) -> None:
        """Logs what has begun or ended; to be called about once a second."""
        self.memory.tick(self.clock())
        self.scheduler.tick(self.clock())

    def buildProtocol(self, addr) -> IntakeChannel | None:
        """Returns the channel for a new connection, None to close it."""
        if not self._connections.has_room():
            return None
        return super().buildProtocol(addr)

    def log(self, request) -> None:
        """Writes no access log."""


def make_site(
    resource, limits, reactor, memory_mb: float = DEFAULT_MEMORY_MB
) -> _EntrySite:
    """Returns a site that limits the size and duration of requests.

    Args:
      resource: serves the requests.
      limits: returns the current limits.
      memory_mb: the memory of the process.
    """
    bound_name_cache()
    return _EntrySite(resource, limits, reactor, memory_mb)
