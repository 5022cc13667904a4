"""Wires crash detection, crash counts and the quarantine."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address, Pool
from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId, RequestDigest
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.owners.wiring import Messenger
from magnolialug.platform.kv import Kv
from magnolialug.policy.answered import Answered
from magnolialug.policy.crashcounter import CrashCounter, Term
from magnolialug.quarantine.crashdetector import CrashDetector
from magnolialug.quarantine.messages import (
    CrashReport,
    Loss,
    Quarantined,
    Survived,
)
from magnolialug.quarantine.quarantinelist import QuarantineList
from magnolialug.result import Failure

__all__ = ["Quarantine"]

# Two crashes may be chance. Callers retry within seconds, and a fault that
# takes down many endpoints is over after this time.
_TEMPORARY_S = 60.0
# Keeps a datagram of one crash within 1,400 bytes, at 40 bytes a request.
_LOSSES_PER_MESSAGE = 32
# Bounds the memory for requests that were reported and not answered since.
_MOST_REPORTED = 10_000


class Quarantine:
    """Detects poison requests and keeps them from endpoints.

    A poison request arrives at any entry, so no single one sees all of its
    crashes. Each entry reports what it lost in a crash to a few others, drawn
    by the request's digest. These count, tell all entries of a request that
    is to be quarantined, and write it to the key-value service.

    Attributes:
      written: the quarantine list in the key-value service.

    Args:
      owners: draws the entries that count, and the one that writes.
      on_quarantined: receives the digest of each newly quarantined request.
    """

    def __init__(
        self,
        owners: OwnerRing,
        talk: Messenger,
        kv: Kv,
        clock: IReactorTime,
        on_quarantined: Callable[[RequestDigest], None],
    ):
        self._owners = owners
        self._talk = talk
        self._clock = clock
        self._answered = Answered()
        self._counter = CrashCounter()
        self._crashes = CrashDetector(self._crashed)
        self._reported: dict[RequestDigest, None] = {}
        self.written = QuarantineList(
            kv,
            clock,
            lambda digest: owners.owner(digest) == owners.me,
            on_quarantined,
        )
        talk.register_handler(
            CrashReport, lambda report, _: self._count(report)
        )
        talk.register_handler(
            Survived, lambda told, _: self._counter.survived(told.digest)
        )
        talk.register_handler(
            Quarantined, lambda told, _: self.written.told(told)
        )

    def refusal(self, digest: RequestDigest) -> Failure | None:
        """Returns why a request may go to no endpoint, None if it may."""
        return self.written.refusal(digest)

    def lost(
        self,
        endpoint: EndpointId,
        pool: Pool,
        digest: RequestDigest,
        answered: bool,
    ) -> None:
        """Learns that an endpoint has closed a connection amid a request."""
        self._crashes.lost(endpoint, pool, Loss(digest, answered))

    def survived(self, digest: RequestDigest) -> None:
        """Learns that an endpoint has answered a request in full."""
        self._answered.add(digest)
        if self._reported and digest in self._reported:
            del self._reported[digest]
            for owner in self._owners.owner_candidates(digest):
                self._talk.send(Survived(digest), owner)

    def tick(self, now: float) -> None:
        """Forgets and writes what is due."""
        self.written.tick(now)

    def _crashed(self, endpoint: EndpointId, losses: tuple[Loss, ...]) -> None:
        emit(Event.ENDPOINT_CRASHED, endpoint=endpoint, lost=len(losses))
        now = self._clock.seconds()
        by_owner: dict[Address, list[Loss]] = {}
        for loss in set(losses):
            if self._answered.clears(loss.digest, now):
                continue
            self._reported[loss.digest] = None
            # Its own too: an entry that is cut off still counts.
            for owner in {
                self._owners.me,
                *self._owners.owner_candidates(loss.digest),
            }:
                by_owner.setdefault(owner, []).append(loss)
        while len(self._reported) > _MOST_REPORTED:
            del self._reported[next(iter(self._reported))]
        for owner, rows in by_owner.items():
            for begin in range(0, len(rows), _LOSSES_PER_MESSAGE):
                told = tuple(rows[begin : begin + _LOSSES_PER_MESSAGE])
                self._talk.send(CrashReport(endpoint, told), owner)

    def _count(self, report: CrashReport) -> None:
        """Counts a crash, and tells all entries of the poison requests."""
        now = self._clock.seconds()
        for loss in report.losses:
            term = self._counter.record_crash(
                loss.digest, report.endpoint, loss.answered, now
            )
            if term is Term.NONE:
                continue
            for_s = _TEMPORARY_S if term is Term.TEMPORARY else 0.0
            ended = self._counter.endpoints(loss.digest)
            message = Quarantined(loss.digest, ended, int(for_s * 1000))
            for entry in (self._owners.me, *self._owners.others):
                self._talk.send(message, entry)
