"""A sidecar's gate before its endpoint: runs each attempt at most once.

Only the gate may report that an attempt did not run. It does so only before
the hand-over to the endpoint, and records it. It reads no clock: callers pass
the time.
"""

import enum
from collections import OrderedDict

import msgspec

from magnolialug.attempt import Attempt, AttemptState
from magnolialug.ids import Incarnation
from magnolialug.result import Code, Failure, failed

__all__ = [
    "MAX_DISPATCH_AGE_S",
    "RECORD_RETENTION_S",
    "Gate",
    "Record",
    "DispatchDecision",
]

MAX_DISPATCH_AGE_S = 120.0
RECORD_RETENTION_S = 900.0


class DispatchDecision(enum.Enum):
    """What to do with a dispatch of an attempt."""

    ADMIT = "admit"
    ATTACH = "attach"
    REFUSE = "refuse"


class Record(msgspec.Struct):
    """The gate's record of one attempt.

    Attributes:
      state: the current state of the attempt.
      since: when it entered this state, on the sidecar's clock in seconds.
      failure: why it was refused or failed, None otherwise.
    """

    attempt: Attempt
    state: AttemptState
    since: float
    failure: Failure | None = None


class Gate:
    """Runs each attempt at most once and reports the state of attempts.

    This prevents the following fault: an entry is paused between its claim
    and its dispatch. Meanwhile a duplicate queries the attempt, gets the
    reply that it is unknown, and runs the request elsewhere. Then the first
    entry resumes, its old dispatch arrives, and the request runs twice. So an
    attempt that is queried before it was dispatched is sealed, and a sealed
    attempt is never run.

    Seals may expire: a dispatch whose attempt was created longer ago than
    MAX_DISPATCH_AGE_S, on this sidecar's own clock, is refused even without a
    seal, and records are retained for RECORD_RETENTION_S, which is longer.
    """

    def __init__(self, incarnation: Incarnation):
        self.incarnation = incarnation
        self.draining = False
        self._records: OrderedDict[tuple, Record] = OrderedDict()
        self._dropped_born = float("-inf")

    def __len__(self) -> int:
        return len(self._records)

    def find(self, attempt: Attempt) -> Record | None:
        """Returns an attempt's record, None if it has none here.

        Attempts of other incarnations have none.
        """
        if attempt.incarnation != self.incarnation:
            return None
        return self._records.get(attempt.key)

    def dispatch(
        self, attempt: Attempt, now: float
    ) -> tuple[DispatchDecision, Failure | None]:
        """Decides on a dispatch.

        Returns:
          ADMIT for a new attempt, which is then queued; ATTACH for a
          duplicate of a known attempt that was not refused; REFUSE with the
          failure for an attempt that did not run and never will.
        """
        if attempt.incarnation != self.incarnation:
            return DispatchDecision.REFUSE, failed(Code.STALE_INCARNATION)
        record = self._records.get(attempt.key)
        if record and record.state is AttemptState.SEALED:
            return DispatchDecision.REFUSE, record.failure
        if record:
            return DispatchDecision.ATTACH, None
        refusal = self._dispatch_refusal(attempt, now)
        if refusal:
            self._add_record(attempt, AttemptState.SEALED, now, refusal)
            return DispatchDecision.REFUSE, refusal
        self._add_record(attempt, AttemptState.QUEUED, now)
        return DispatchDecision.ADMIT, None

    def hand_over(self, attempt: Attempt, now: float) -> bool:
        """Marks an attempt as running; false if it may not run."""
        record = self.find(attempt)
        if record is None or record.state is not AttemptState.QUEUED:
            return False
        self._set_state(record, AttemptState.RUNNING, now)
        return True

    def refuse(self, attempt: Attempt, failure: Failure, now: float) -> bool:
        """Seals a queued attempt; false if it is not queued."""
        record = self.find(attempt)
        if record is None or record.state is not AttemptState.QUEUED:
            return False
        record.failure = failure
        self._set_state(record, AttemptState.SEALED, now)
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
        self._set_state(record, done, now)

    def query(self, attempt: Attempt, seal: bool, now: float) -> AttemptState:
        """Returns the state of an attempt; seals it if it is unknown.

        The state is FORGOTTEN for an attempt of another incarnation, and for
        an unknown one that is not sealed or is no younger than an attempt
        whose record was dropped: it may have run.

        Args:
          seal: whether to seal an unknown attempt.
        """
        if attempt.incarnation != self.incarnation:
            return AttemptState.FORGOTTEN
        record = self._records.get(attempt.key)
        if record:
            return record.state
        if not seal or attempt.born <= self._dropped_born:
            return AttemptState.FORGOTTEN
        self._add_record(attempt, AttemptState.SEALED, now, failed(Code.SEALED))
        return AttemptState.SEALED

    def forget(self, now: float) -> list[Attempt]:
        """Drops records of ended attempts after RECORD_RETENTION_S."""
        expired = []
        for key, record in self._records.items():
            if now - record.since < RECORD_RETENTION_S:
                break
            if record.state in (AttemptState.QUEUED, AttemptState.RUNNING):
                continue
            expired.append(key)
        dropped = [self._records.pop(key).attempt for key in expired]
        for attempt in dropped:
            self._dropped_born = max(self._dropped_born, attempt.born)
        return dropped

    def unfinished(self) -> list[Record]:
        """Returns the attempts that are queued or running."""
        live = (AttemptState.QUEUED, AttemptState.RUNNING)
        return [r for r in self._records.values() if r.state in live]

    def _dispatch_refusal(self, attempt: Attempt, now: float) -> Failure | None:
        if self.draining:
            return failed(Code.DRAINING)
        if now - attempt.born >= MAX_DISPATCH_AGE_S:
            return failed(Code.STALE_DISPATCH)
        return None

    def _add_record(
        self,
        attempt: Attempt,
        state: AttemptState,
        now: float,
        failure: Failure | None = None,
    ) -> None:
        self._records[attempt.key] = Record(attempt, state, now, failure)

    def _set_state(
        self, record: Record, state: AttemptState, now: float
    ) -> None:
        record.state = state
        record.since = now
        self._records.move_to_end(record.attempt.key)
