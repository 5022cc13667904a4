"""The last gate before an endpoint: what ran, what never will.

Only the gate may say that an attempt did not run, and it says so only
before hand-over, and remembers it. It is pure: callers pass the time.
"""

import enum
from collections import OrderedDict

import msgspec

from magnolialug.attempt import Attempt, AttemptState
from magnolialug.ids import Incarnation
from magnolialug.result import Code, Failure, failed

__all__ = ["DISPATCH_REACH_S", "KEEP_S", "Gate", "Record", "Term"]

DISPATCH_REACH_S = 120.0
KEEP_S = 900.0


class Term(enum.Enum):
    """What to do with a dispatch."""

    ADMIT = "admit"
    ATTACH = "attach"
    REFUSE = "refuse"


class Record(msgspec.Struct):
    """What the gate remembers of one attempt.

    Attributes:
      state: where the attempt stands.
      since: when it got there, on the sidecar's clock in seconds.
      failure: why it was refused or failed.
    """

    attempt: Attempt
    state: AttemptState
    since: float
    failure: Failure | None = None


class Gate:
    """At most one run for each attempt, and an honest word on every other.

    What goes wrong: an entry is paused between its claim and its dispatch;
    meanwhile a duplicate asks for the attempt, hears that it was never seen,
    and runs the request elsewhere; then the first entry wakes and its old
    dispatch arrives. One would notice two runs. So an attempt that is asked
    for before it was seen is sealed, and a sealed attempt is never run.
    Seals need not be kept for ever: a dispatch whose attempt was born longer
    ago than DISPATCH_REACH_S, on this sidecar's own clock, is refused even
    if no seal is remembered, and records live KEEP_S, which is longer.
    """

    def __init__(self, incarnation: Incarnation):
        self.incarnation = incarnation
        self.draining = False
        self._records: OrderedDict[tuple, Record] = OrderedDict()
        self._dropped_born = float("-inf")

    def __len__(self) -> int:
        return len(self._records)

    def find(self, attempt: Attempt) -> Record | None:
        """Returns the record of the very attempt of this incarnation."""
        if attempt.incarnation != self.incarnation:
            return None
        return self._records.get(attempt.key)

    def dispatch(
        self, attempt: Attempt, now: float
    ) -> tuple[Term, Failure | None]:
        """Decides on a dispatch.

        Returns:
          ADMIT for a new attempt, which is then queued; ATTACH for a
          duplicate of one that is known and not refused; REFUSE with the
          failure for one that did not run and never will.
        """
        if attempt.incarnation != self.incarnation:
            return Term.REFUSE, failed(Code.STALE_INCARNATION)
        record = self._records.get(attempt.key)
        if record and record.state is AttemptState.SEALED:
            return Term.REFUSE, record.failure
        if record:
            return Term.ATTACH, None
        refusal = self._refusal(attempt, now)
        if refusal:
            self._put(attempt, AttemptState.SEALED, now, refusal)
            return Term.REFUSE, refusal
        self._put(attempt, AttemptState.QUEUED, now)
        return Term.ADMIT, None

    def hand_over(self, attempt: Attempt, now: float) -> bool:
        """Marks the attempt as run; false if it may not be run."""
        record = self.find(attempt)
        if record is None or record.state is not AttemptState.QUEUED:
            return False
        self._move(record, AttemptState.RUNNING, now)
        return True

    def refuse(self, attempt: Attempt, failure: Failure, now: float) -> bool:
        """Seals a queued attempt; false if it was already handed over."""
        record = self.find(attempt)
        if record is None or record.state is not AttemptState.QUEUED:
            return False
        record.failure = failure
        self._move(record, AttemptState.SEALED, now)
        return True

    def end(
        self, attempt: Attempt, now: float, failure: Failure | None = None
    ) -> None:
        """Records how a run ended."""
        record = self.find(attempt)
        if record is None or record.state is not AttemptState.RUNNING:
            return
        record.failure = failure
        done = AttemptState.FAILED if failure else AttemptState.DONE
        self._move(record, done, now)

    def ask(self, attempt: Attempt, seal: bool, now: float) -> AttemptState:
        """Returns what became of an attempt, sealing it if never seen.

        An attempt of another incarnation, or one no younger than a record
        that was dropped, is FORGOTTEN: it may have run.
        """
        if attempt.incarnation != self.incarnation:
            return AttemptState.FORGOTTEN
        record = self._records.get(attempt.key)
        if record:
            return record.state
        if not seal or attempt.born <= self._dropped_born:
            return AttemptState.FORGOTTEN
        self._put(attempt, AttemptState.SEALED, now, failed(Code.SEALED))
        return AttemptState.SEALED

    def forget(self, now: float) -> list[Attempt]:
        """Drops records that are over and older than KEEP_S."""
        over = []
        for key, record in self._records.items():
            if now - record.since < KEEP_S:
                break
            if record.state in (AttemptState.QUEUED, AttemptState.RUNNING):
                continue
            over.append(key)
        gone = [self._records.pop(key).attempt for key in over]
        for attempt in gone:
            self._dropped_born = max(self._dropped_born, attempt.born)
        return gone

    def unfinished(self) -> list[Record]:
        """Returns the attempts that are queued or running."""
        live = (AttemptState.QUEUED, AttemptState.RUNNING)
        return [r for r in self._records.values() if r.state in live]

    def _refusal(self, attempt: Attempt, now: float) -> Failure | None:
        if self.draining:
            return failed(Code.DRAINING)
        if now - attempt.born >= DISPATCH_REACH_S:
            return failed(Code.STALE_DISPATCH)
        return None

    def _put(
        self,
        attempt: Attempt,
        state: AttemptState,
        now: float,
        failure: Failure | None = None,
    ) -> None:
        self._records[attempt.key] = Record(attempt, state, now, failure)

    def _move(self, record: Record, state: AttemptState, now: float) -> None:
        record.state = state
        record.since = now
        self._records.move_to_end(record.attempt.key)
