"""Retry rules: retry budget, backoff, and when a retry is allowed."""

import enum
from random import Random

import msgspec

from magnolialug.result import Code, Failure, failed

__all__ = ["Backoff", "Budget", "Ending", "may_retry"]


class Ending(enum.Enum):
    """How an attempt ended for the entry that sent it.

    UNSENT: the endpoint received nothing of it.
    NOT_RUN: the endpoint reports that it did not run it and never will.
    LOST: it may have run; its response was lost.
    FAILED: it ran, and the endpoint reports that it failed.
    CUT: the caller has part of a response that no other run can continue.
    """

    UNSENT = "unsent"
    NOT_RUN = "not run"
    LOST = "lost"
    FAILED = "failed"
    CUT = "cut"


class Budget:
    """Retry budget of a process: a share of each service's first attempts.

    Without it, an outage multiplies the load by the number of attempts, and
    endpoints that return are overloaded at once; goodput then stays low after
    the fault has ended. In any period, the retries for a service stay below
    `limit` plus `ratio` times its requests.

    Attributes:
      ratio: retries earned by each first attempt.
      limit: maximum retries that can accumulate for one service.
    """

    def __init__(self, ratio: float = 0.2, limit: float = 10.0):
        self.ratio = ratio
        self.limit = limit
        self._left: dict[str, float] = {}

    def left(self, service: str) -> float:
        """Returns how many retries a service has left."""
        return min(self.limit, self._left.get(service, self.limit))

    def deposit(self, service: str) -> None:
        """Adds the retries that a first attempt earns."""
        saved = self.left(service) + self.ratio
        self._left[service] = min(self.limit, saved)

    def withdraw(self, service: str) -> bool:
        """Takes one retry from the budget; false if none is left."""
        left = self.left(service)
        if left < 1.0:
            return False
        self._left[service] = left - 1.0
        return True

    def restore(self, service: str) -> None:
        """Puts back a retry of which no endpoint received anything."""
        self._left[service] = min(self.limit, self.left(service) + 1.0)


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
    """Returns None if a request may be retried, or the reason why not.

    Args:
      ending: how the last attempt ended.
      idempotent: whether the request may run more than once.
      wait_left_s: time left for the first token, in seconds.
      started: whether the first token has already arrived.
      budget: the process's retry budget; one retry is taken if the result is
        None, unless the endpoint received nothing of the last attempt.
      service: the service whose budget is used.
      attempts_left: number of endpoints that it may still be sent to.
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
