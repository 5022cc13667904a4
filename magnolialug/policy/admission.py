"""Per-team rate and concurrency limits, divided among the live entries."""

import msgspec

from magnolialug.result import Code, Failure, failed

__all__ = ["Admission", "Limit"]

_BURST_S = 2.0


class Limit(msgspec.Struct, frozen=True):
    """A team's limits over all entries.

    Attributes:
      rate: requests a second.
      concurrency: requests in progress.
    """

    rate: float
    concurrency: int


class _Usage(msgspec.Struct):
    tokens: float
    at: float
    running: int = 0


class Admission:
    """One entry's share of every team's limits.

    Entries do not coordinate. Each enforces an equal share of the limit, by
    the number of entries that the sidecars report as connected. The sidecars'
    fair queues even out what an unbalanced load balancer distributes unevenly.
    """

    def __init__(self) -> None:
        self.entries = 1
        self._usage: dict[str, _Usage] = {}

    def admit(self, team: str, limit: Limit, now: float) -> Failure | None:
        """Admits a request, or returns why it is refused without being run."""
        rate = limit.rate / self.entries
        burst = max(1.0, rate * _BURST_S)
        usage = self._usage.get(team)
        if usage is None:
            usage = self._usage[team] = _Usage(burst, now)
        usage.tokens = min(burst, usage.tokens + (now - usage.at) * rate)
        usage.at = now
        most = max(1, -(-limit.concurrency // self.entries))
        if usage.running >= most:
            return failed(
                Code.TOO_MANY_CONCURRENT,
                field="team",
                value=team,
                retry_after_s=1.0,
            )
        if usage.tokens < 1.0:
            wait = (1.0 - usage.tokens) / rate
            return failed(
                Code.RATE_LIMITED,
                field="team",
                value=team,
                retry_after_s=wait,
            )
        usage.tokens -= 1.0
        usage.running += 1
        return None

    def release(self, team: str) -> None:
        """Ends an admitted request, so that it no longer counts as running."""
        self._usage[team].running -= 1
