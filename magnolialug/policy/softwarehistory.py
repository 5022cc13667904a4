"""Which software versions have served in each service lately."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from magnolialug.config.routing import Route, Share
from magnolialug.ids import ServiceName, SoftwareVersion
from magnolialug.policy.registeredendpoint import UNKNOWN_SOFTWARE

__all__ = ["MAX_OUT_OF_STEP_S", "SoftwareHistory"]

# An entry that is cut off from the registry goes on with endpoints that have
# left it, as long as they serve.
MAX_OUT_OF_STEP_S = 30.0


class SoftwareHistory:
    """Follows the registered versions of each service.

    Attributes:
      known_since: since when no version can have been missed; None while the
        registry cannot be read. Times are in seconds.
      known_from: the registry's revision at that time.
    """

    def __init__(self) -> None:
        self.known_since: float | None = None
        self.known_from = 0
        self._present: dict[ServiceName, Counter[SoftwareVersion]] = (
            defaultdict(Counter)
        )
        self._last_seen: dict[ServiceName, dict[SoftwareVersion, float]] = (
            defaultdict(dict)
        )
        self._shares: dict[tuple[str, str], tuple[Share, ...]] | None = None
        self._rerouted_at: dict[ServiceName, float] = {}

    def configure(self, routes: Iterable[Route], now: float) -> None:
        """Records which services get requests that others got before.

        Args:
          routes: of the current configuration.
        """
        before = self._shares
        self._shares = shares = {
            (route.host, route.prefix): route.shares for route in routes
        }
        if before is None:
            return
        changed = {path for path in shares if shares[path] != before.get(path)}
        for host, prefix in before.keys() - shares.keys():
            # A route with a shorter prefix gets its requests.
            changed |= {
                path
                for path in shares
                if path[0] == host and prefix.startswith(path[1])
            }
        for path in changed:
            for share in shares[path]:
                self._rerouted_at[share.service] = now

    def was_rerouted(
        self, service: ServiceName, within_s: float, now: float
    ) -> bool:
        """Whether another service may have begun the streams of a service."""
        at = self._rerouted_at.get(service, float("-inf"))
        return at >= now - within_s - MAX_OUT_OF_STEP_S

    def begin(self, now: float, revision: int) -> None:
        """Records that all versions are known from now on."""
        self.known_since = now
        self.known_from = revision

    def add(self, service: ServiceName, software: SoftwareVersion) -> None:
        """Records that an endpoint is listed."""
        self._present[service][software] += 1

    def remove(
        self, service: ServiceName, software: SoftwareVersion, now: float
    ) -> None:
        """Records that an endpoint is no longer listed."""
        present = self._present[service]
        present[software] -= 1
        if not present[software]:
            del present[software]
        seen = self._last_seen[service]
        seen[software] = max(now, seen.get(software, now))

    def identify(self, service: ServiceName, software: SoftwareVersion) -> None:
        """Records the version of an endpoint that was listed without one."""
        self.add(service, software)
        never = float("-inf")
        self.remove(service, UNKNOWN_SOFTWARE, never)

    def versions(
        self, service: ServiceName, within_s: float, now: float
    ) -> set[SoftwareVersion]:
        """Returns the versions that may have served within the last seconds.

        Entries that are out of step use a version after it has left.
        """
        seen = self._last_seen[service]
        since = now - within_s - MAX_OUT_OF_STEP_S
        recent = {name for name, at in seen.items() if at >= since}
        return recent.union(self._present[service])

    def only_version(
        self, service: ServiceName, within_s: float, now: float
    ) -> SoftwareVersion | None:
        """Returns the version, if all endpoints have had the same one.

        Returns:
          None if there were several or none, if this process has not
          followed the registry for that long, or if another service may have
          had the requests.
        """
        if self.was_rerouted(service, within_s, now):
            return None
        since = self.known_since
        if since is None or now - since < within_s:
            return None
        versions = self.versions(service, within_s, now)
        return next(iter(versions)) if len(versions) == 1 else None
