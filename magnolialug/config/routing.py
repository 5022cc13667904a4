"""Which requests go to which service, for whom and within what limits."""

import enum

import msgspec

from magnolialug.config.deployment import Kind
from magnolialug.ids import ServiceName, TeamId, ZoneId

__all__ = [
    "CacheStore",
    "CallerLimits",
    "EngineTraits",
    "Route",
    "RouteTeam",
    "RoutedService",
    "RouteType",
    "Routing",
    "Share",
]


class RouteType(enum.Enum):
    """What may happen to a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


class Share(msgspec.Struct, frozen=True):
    """A service's part of a route's requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Requests of one host under one path prefix.

    Attributes:
      shares: the services, with the weights by which requests are split.
      timeout_s: the longest a caller may be kept waiting.
      target_s: the time in which an answer, or a stream's first event, is
        on time.
      gap_s: the longest pause between events that is still on time.
      priority: 0 is the most urgent.
      attempts: the most endpoints that one request may be sent to.
      public: whether no key is asked for.
      prompts: whether requests carry prompts whose parts engines cache.
      resumable: whether a stream may go on at another endpoint.
    """

    name: str
    host: str
    prefix: str
    form: RouteType
    shares: tuple[Share, ...]
    timeout_s: float
    target_s: float
    gap_s: float = 0.0
    priority: int = 1
    attempts: int = 1
    public: bool = False
    prompts: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.form is RouteType.STREAMING:
            return self.resumable
        return self.form is RouteType.IDEMPOTENT

    @property
    def kind(self) -> Kind:
        """The route as the kind that retries and placement go by."""
        return Kind(self.timeout_s, self.repeatable, self.priority, False, 0)


class EngineTraits(msgspec.Struct, frozen=True):
    """What a service's model engines have in common.

    Attributes:
      slots: requests that run at once.
      memory_tokens: tokens that running requests and cached parts share.
      token_bytes: bytes of cache for each token.
      link_mbps: rate of the link that moves cache.
      polls: calls for cache events that one engine holds at once.
      managed: whether its stores keep all until they are told to free.
    """

    slots: int
    memory_tokens: int
    token_bytes: int = 0
    link_mbps: float = 0.0
    polls: int = 1
    managed: bool = False


class CacheStore(msgspec.Struct, frozen=True):
    """A store of cache parts."""

    address: tuple[str, int]
    zone: ZoneId
    capacity_tokens: int
    link_mbps: float
    first_s: float = 0.0
    polls: int = 1
    managed: bool = False


class RoutedService(msgspec.Struct, frozen=True):
    """A service that requests go to, or a store of cache parts.

    Attributes:
      cold_start_s: how long its endpoints are cold after a start.
      cold_per_s: requests a second that a cold endpoint tolerates, from all
        processes together; 0 for no limit.
    """

    name: ServiceName
    health_path: str = "/healthz"
    connections: int = 64
    engine: EngineTraits | None = None
    store: CacheStore | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class RouteTeam(msgspec.Struct, frozen=True):
    """A team, its keys, and whether it shares cache with no other.

    Attributes:
      priority: goes before the route's, None if the team has none.
    """

    name: TeamId
    keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class Routing(msgspec.Struct, frozen=True):
    """One version of the whole configuration of routes."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, RoutedService]
    teams: tuple[RouteTeam, ...]
    limits: CallerLimits
