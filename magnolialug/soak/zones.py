"""Evacuated zones and cold endpoints: what may reach them, and what does."""

from collections import Counter, defaultdict, deque
from collections.abc import Callable

__all__ = ["COLD_PER_S", "COLD_S", "EVACUATION_S", "ZoneChecks"]

# The bounds that the platform sets: nothing reaches an evacuated zone this
# long after its evacuation; a cold endpoint tolerates that rate, half as much
# again and five more in a second.
EVACUATION_S = 5.0
COLD_S = 2.0
COLD_PER_S = 8.0
_MOST_PER_S = COLD_PER_S * 1.5 + 5
_SLACK_S = 0.3


class ZoneChecks:
    """Notes evacuations and cold starts, and judges each arrival.

    Attributes:
      has_begun: whether callers send; endpoints that start before that are
        warm.

    Args:
      clock: returns the time in seconds.
      touched: tells whether a machine has been calm since a time.
      broken: is told promise, detail and request of what must not be.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        touched: Callable[[str, float], bool],
        broken: Callable[[str, str, str], None],
    ):
        self._clock = clock
        self._touched = touched
        self._broken = broken
        self._evacuated: dict[str, float] = {}
        self._cold_since: dict[str, float] = {}
        self._arrivals: dict[str, deque] = defaultdict(deque)
        self.has_begun = False

    def evacuated(self, zone: str) -> bool:
        """Whether a zone is evacuated now."""
        return zone in self._evacuated

    def evacuate(self, zone: str) -> None:
        """Notes that an evacuation has been acknowledged."""
        self._evacuated[zone] = self._clock()

    def take_back(self, zone: str) -> None:
        """Notes that an evacuation is over."""
        self._evacuated.pop(zone, None)

    def starts(self, instance: str) -> None:
        """Notes that an endpoint is cold from now on."""
        self._cold_since[instance] = self._clock()

    def arrived(
        self, instance: str, zone: str, request: str, machine: str, at: float
    ) -> None:
        """Judges a request that an endpoint begins with.

        Args:
          at: when its caller sent it.
        """
        self._check_zone(instance, zone, request, machine)
        self._check_rate(instance, request, machine, at)

    def _check_zone(
        self, instance: str, zone: str, request: str, machine: str
    ) -> None:
        since = self._evacuated.get(zone)
        if since is None:
            return
        late = self._clock() - since - EVACUATION_S
        if late > _SLACK_S and self._touched(machine, since):
            detail = f"{instance}, {late:.2f} s late"
            self._broken("EVAC", detail, request)

    def _check_rate(
        self, instance: str, request: str, machine: str, at: float
    ) -> None:
        """Counts what was sent and arrived in one second, while it was cold."""
        now = self._clock()
        since = self._cold_since.get(instance)
        if since is None or now >= since + COLD_S:
            return
        from_ = max(since, now - 1.0)
        recent = self._arrivals[instance]
        recent.append((now, at, machine))
        while recent[0][0] < from_:
            recent.popleft()
        senders = Counter(
            sender for _, sent, sender in recent if sent > now - 1.0
        )
        count = senders.total()
        if count > _MOST_PER_S:
            shares = ", ".join(
                f"{n} by {m}" for m, n in sorted(senders.items())
            )
            detail = (
                f"{instance} got {count} requests in a second, "
                f"{now - since:.2f} s after it turned cold: {shares}"
            )
            self._broken("FAILBACK", detail, request)
