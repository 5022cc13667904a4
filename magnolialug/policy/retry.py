"""When a request may be tried again, and how soon."""

import enum
from random import Random

import msgspec

from magnolialug.result import Code, Failure, failed

__all__ = ["Backoff", "Budget", "Ending", "may_retry"]


class Ending(enum.Enum):
    """How an attempt ended for the entry that sent it.

    UNSENT: the endpoint saw nothing of it.
    NOT_RUN: the endpoint says that it did not run it and never will.
    LOST: it may have run; its answer did not come.
    FAILED: it ran, and the endpoint says that it failed.
    CUT: the caller has part of an answer that no other run can continue.
    """

    UNSENT = "unsent"
    NOT_RUN = "not run"
    LOST = "lost"
    FAILED = "failed"
    CUT = "cut"


class Budget:
    """Retries a process may make: a share of a service's first attempts.

    Without it an outage multiplies the load by the number of tries, and the
    endpoints that return are buried at once; one would notice goodput that
    stays low after the fault has ended. In any span of time the retries for
    a service stay under `limit` plus `ratio` for each of its requests.

    Attributes:
      ratio: retries earned by each first attempt.
      limit: most retries that may be saved up for one service.
    """

    def __init__(self, ratio: float = 0.2, limit: float = 10.0):
        self.ratio = ratio
        self.limit = limit
        self._left: dict[str, float] = {}

    def left(self, service: str) -> float:
        """Returns how many retries a service has left."""
        return min(self.limit, self._left.get(service, self.limit))

    def deposit(self, service: str) -> None:
        """Counts a first attempt."""
        saved = self.left(service) + self.ratio
        self._left[service] = min(self.limit, saved)

    def withdraw(self, service: str) -> bool:
        """Takes one retry if there is one left."""
        left = self.left(service)
        if left < 1.0:
            return False
        self._left[service] = left - 1.0
        return True


class Backoff(msgspec.Struct):
    """Exponential backoff with full jitter, in seconds."""

    base_s: float = 0.05
    limit_s: float = 2.0
    tries: int = 0

    def next(self, random: Random) -> float:
        """Returns the next pause."""
        top = min(self.limit_s, self.base_s * 2**self.tries)
        self.tries += 1
        return random.uniform(top / 2, top)


def may_retry(
    ending: Ending,
    idempotent: bool,
    wait_left_s: float,
    started: bool,
    budget: Budget,
    service: str = "",
    attempts_left: int = 1,
) -> Failure | None:
    """Returns None if a request may go to another endpoint.

    Args:
      ending: how the last attempt ended.
      idempotent: whether the request may run more than once.
      wait_left_s: time left until the first word must have come.
      started: whether the first word has already come.
      budget: the process's retries; one is taken when the answer is None,
        unless the endpoint saw nothing of the last attempt.
      service: whose retries are counted together.
      attempts_left: endpoints that it may still be sent to.
    """
    unrun = ending in (Ending.UNSENT, Ending.NOT_RUN)
    if ending is Ending.CUT or (not unrun and not idempotent):
        return failed(Code.OUTCOME_UNKNOWN)
    if wait_left_s <= 0 and not started:
        return failed(Code.WAIT_EXCEEDED, retry_after_s=1.0)
    if attempts_left <= 0:
        return failed(Code.ATTEMPTS_SPENT, retry_after_s=1.0)
    if ending is Ending.UNSENT:
        return None
    if not budget.withdraw(service):
        return failed(Code.RETRY_BUDGET_SPENT, retry_after_s=1.0)
    return None
