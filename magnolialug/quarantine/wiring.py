"""Connects crash detection, crash counts and the quarantine list."""

from collections import Counter
from collections.abc import Callable, Iterable

from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address, Pool
from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId, EngineBuild, RequestDigest
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.owners.wiring import Messenger
from magnolialug.platform.kv import Kv
from magnolialug.policy.answeredparts import AnsweredParts
from magnolialug.policy.crashcounter import CrashCounter, QuarantineTerm
from magnolialug.policy.recentanswers import RecentAnswers
from magnolialug.policy.requestidentity import RequestIdentity
from magnolialug.quarantine.batches import batches
from magnolialug.quarantine.crashdetector import CrashDetector, LostAttempt
from magnolialug.quarantine.messages import (
    CrashReport,
    LostRequest,
    Quarantined,
    Released,
    RequestCompleted,
)
from magnolialug.quarantine.partquarantine import PartQuarantine
from magnolialug.quarantine.partreporter import Attempt, PartReporter
from magnolialug.quarantine.quarantinelist import QuarantineList
from magnolialug.result import Failure

__all__ = ["Quarantine"]

# Two crashes may be a coincidence. Callers retry within seconds, and a fault
# that takes down many endpoints is over after this time.
_TEMPORARY_S = 60.0
# Limits a crash report to 1,400 bytes, at 40 bytes per request.
_LOSSES_PER_MESSAGE = 32
# Bounds the length of a log line.
_LOGGED_PARTS = 16
# Bounds memory use; endpoints that crashed in the last minutes.
_MAX_CRASHED_ENDPOINTS = 256
# Bounds memory use for requests that were reported and not answered since.
_MAX_REPORTED_REQUESTS = 10_000


class Quarantine:
    """Detects poison requests and quarantines them.

    A poison request can arrive at any entry, so no single entry sees all of
    its crashes. Each entry reports the requests that it lost in a crash to a
    few entries, which are selected by the request's digest. These count the
    crashes, notify all entries of a request that is to be quarantined, and
    write it to the key-value service.

    Attributes:
      quarantined: the quarantine list in the key-value service.

    Args:
      owners: selects the entries that count, and the one that writes.
      on_quarantined: receives the digest of each newly quarantined request or
        pattern.
      in_progress: returns the attempts of this entry that have not ended.
    """

    def __init__(
        self,
        owners: OwnerRing,
        messenger: Messenger,
        kv: Kv,
        clock: IReactorTime,
        on_quarantined: Callable[[RequestDigest], None],
        in_progress: Callable[[], Iterable[Attempt]] = lambda: (),
    ):
        self._owners = owners
        self._messenger = messenger
        self._clock = clock
        self._answered = RecentAnswers()
        self._answered_parts = AnsweredParts()
        self._counter = CrashCounter()
        self._crash_detector = CrashDetector(clock, self._report_crash)
        self._reported_requests: dict[RequestDigest, None] = {}
        self._crashed_at: dict[EndpointId, float] = {}
        self.quarantined = QuarantineList(
            kv,
            clock,
            lambda digest: owners.owner(digest) == owners.me,
            on_quarantined,
        )
        messenger.register_handler(
            CrashReport, lambda report, _: self._count_crash(report)
        )
        messenger.register_handler(
            RequestCompleted,
            lambda done, _: self._counter.record_completion(done.digest),
        )
        messenger.register_handler(
            Quarantined, lambda notice, _: self._add(notice)
        )
        messenger.register_handler(
            Released, lambda notice, _: self.quarantined.release(notice.digest)
        )
        shared = (
            owners,
            messenger,
            clock,
            self.quarantined,
            self._answered_parts,
        )
        self._reporter = PartReporter(*shared, in_progress)
        self._parts = PartQuarantine(*shared)

    def refusal(self, identity: RequestIdentity) -> Failure | None:
        """Returns the failure of a quarantined request, None for any other."""
        return self.quarantined.refusal(identity)

    def record_loss(
        self, endpoint: EndpointId, pool: Pool, loss: LostAttempt
    ) -> None:
        """Records an attempt whose connection the endpoint has closed."""
        self._crash_detector.record_loss(endpoint, pool, loss)

    def record_completion(
        self, identity: RequestIdentity, build: EngineBuild, served: bool
    ) -> None:
        """Records that an endpoint has answered a request completely.

        Args:
          build: of the engine that answered.
          served: whether the answer was a success.
        """
        if served and identity.parts:
            self._reporter.record_answer(identity, build)
        digest = identity.digest
        self._answered.add(digest)
        if self._reported_requests and digest in self._reported_requests:
            del self._reported_requests[digest]
            for owner in self._owners.owner_candidates(digest):
                self._messenger.send(RequestCompleted(digest), owner)

    def tick(self, now: float) -> None:
        """Ends expired quarantines and writes new ones."""
        self.quarantined.tick(now)
        self._reporter.tick(now)
        self._parts.tick(now)

    def _add(self, notice: Quarantined) -> None:
        if notice.pattern is not None:
            self._counter.discount(notice.crashed_endpoints)
        self.quarantined.add(notice)

    def _report_crash(
        self, endpoint: EndpointId, losses: tuple[LostAttempt, ...]
    ) -> None:
        now = self._clock.seconds()
        losses = self._sent_before_crash(endpoint, losses, now)
        if not losses:
            return
        emit(
            Event.ENDPOINT_CRASHED,
            endpoint=endpoint,
            lost=len(losses),
            unanswered=sum(not loss.answered for loss in losses),
            parts=self._lost_parts(losses, now),
        )
        self._reporter.report_crash(endpoint, losses)
        by_owner: dict[Address, list[LostRequest]] = {}
        requests = {
            LostRequest(loss.identity.digest, loss.answered) for loss in losses
        }
        for loss in requests:
            if self._answered.rules_out(loss.digest, now):
                continue
            self._reported_requests[loss.digest] = None
            # This entry also counts by itself, in case it is disconnected
            # from the others.
            for owner in {
                self._owners.me,
                *self._owners.owner_candidates(loss.digest),
            }:
                by_owner.setdefault(owner, []).append(loss)
        while len(self._reported_requests) > _MAX_REPORTED_REQUESTS:
            del self._reported_requests[next(iter(self._reported_requests))]
        for owner, rows in by_owner.items():
            for batch in batches(rows, _LOSSES_PER_MESSAGE):
                self._messenger.send(CrashReport(endpoint, batch), owner)

    def _sent_before_crash(
        self,
        endpoint: EndpointId,
        losses: tuple[LostAttempt, ...],
        now: float,
    ) -> tuple[LostAttempt, ...]:
        """Returns the losses that may have caused an endpoint's crash.

        What takes connections for a crashed endpoint and closes them loses
        further requests, which no endpoint has begun.
        """
        crashed_at = self._crashed_at.setdefault(endpoint, now)
        while len(self._crashed_at) > _MAX_CRASHED_ENDPOINTS:
            del self._crashed_at[next(iter(self._crashed_at))]
        return tuple(loss for loss in losses if loss.sent_at <= crashed_at)

    def _lost_parts(
        self, losses: tuple[LostAttempt, ...], now: float
    ) -> list[tuple[str, int, float]]:
        """Returns the parts that most of the lost prompts had, for the log.

        Returns:
          for each the number of prompts, and the seconds since an engine of
          the same build answered a prompt with it, -1 for never.
        """
        count = Counter(
            (loss.identity.service, part, loss.build)
            for loss in losses
            for part in loss.identity.parts
        )
        rows = []
        for key, number in count.most_common(_LOGGED_PARTS):
            answered_at = self._answered_parts.answered_at(*key)
            age_s = round(now - answered_at, 3)
            rows.append(
                (key[1], number, -1 if age_s == float("inf") else age_s)
            )
        return rows

    def _count_crash(self, report: CrashReport) -> None:
        """Counts a crash, and notifies all entries of poison requests."""
        now = self._clock.seconds()
        for loss in report.losses:
            term = self._counter.record_crash(
                loss.digest, report.endpoint, loss.answered, now
            )
            if term is QuarantineTerm.NONE:
                continue
            for_s = _TEMPORARY_S if term is QuarantineTerm.TEMPORARY else 0.0
            ended = self._counter.endpoints(loss.digest)
            message = Quarantined(loss.digest, ended, int(for_s * 1000))
            for entry in (self._owners.me, *self._owners.others):
                self._messenger.send(message, entry)
