"""The typed configuration that every process works from."""

from hashlib import blake2b

import msgspec

from magnolialug.ids import EndpointId, TeamId

__all__ = [
    "Deployment",
    "Endpoint",
    "Kind",
    "Limits",
    "Measures",
    "Model",
    "Service",
    "Store",
    "Team",
    "Zone",
    "from_text",
    "hash_key",
    "text_digest",
    "to_text",
]


class Measures(msgspec.Struct, frozen=True):
    """What the operators' three measures are worth to them."""

    ttft: float
    recompute: float
    link: float


class Limits(msgspec.Struct, frozen=True):
    """Bounds that hold for every process of the deployment."""

    body_bytes: int
    body_s: float
    answer_bytes: int
    queue_items: int
    drain_s: float
    claim_keep_s: float
    retry_ratio: float


class Zone(msgspec.Struct, frozen=True):
    """An availability zone."""

    region: str
    hop_ms: float


class Model(msgspec.Struct, frozen=True):
    """A model; weights is the version new requests use."""

    weights: str
    token_bytes: int


class Team(msgspec.Struct, frozen=True):
    """A team, its hashed keys and its limits."""

    key_hashes: tuple[str, ...]
    share: float
    rate: float
    concurrency: int


class Kind(msgspec.Struct, frozen=True):
    """A kind of request."""

    max_wait_s: float
    idempotent: bool
    priority: int
    default: bool
    max_tokens: int


class Service(msgspec.Struct, frozen=True):
    """A service: model engines or plain."""

    type: str
    models: tuple[str, ...]
    kinds: dict[str, Kind]


class Endpoint(msgspec.Struct, frozen=True):
    """An endpoint; host and port are its sidecar's, target its own URL."""

    service: str
    zone: str
    host: str
    port: int
    target: str
    slots: int
    cache_tokens: int
    prefill_rate: float
    fencing: bool


class Store(msgspec.Struct, frozen=True):
    """A store VM."""

    zone: str
    url: str
    memory_bytes: int
    disk_bytes: int
    memory_rate: float
    disk_rate: float


class _Name(msgspec.Struct, frozen=True):
    name: str


class Deployment(msgspec.Struct, frozen=True):
    """One whole configuration."""

    deployment: _Name
    measures: Measures
    limits: Limits
    zones: dict[str, Zone]
    models: dict[str, Model]
    teams: dict[str, Team]
    services: dict[str, Service]
    endpoints: dict[str, Endpoint]
    stores: dict[str, Store]

    def teams_by_key(self) -> dict[str, TeamId]:
        """Returns the team of each hashed key."""
        return {
            key: TeamId(name)
            for name, team in self.teams.items()
            for key in team.key_hashes
        }

    def pool(self, service: str) -> list[EndpointId]:
        """Returns the endpoints of a service."""
        return [
            EndpointId(name)
            for name, endpoint in self.endpoints.items()
            if endpoint.service == service
        ]

    def service_of_model(self, model: str) -> str | None:
        """Returns the service that offers a model."""
        for name, service in self.services.items():
            if model in service.models:
                return name
        return None


def hash_key(key: str) -> str:
    """Returns a bearer key as configurations hold it."""
    return blake2b(key.encode(), digest_size=32).hexdigest()


def to_text(deployment: Deployment) -> str:
    """Returns the canonical JSON of a deployment."""
    return msgspec.json.encode(deployment, order="deterministic").decode()


def from_text(text: str) -> Deployment:
    """Returns the deployment in canonical JSON.

    Raises:
      msgspec.DecodeError: the text is no deployment of this version.
    """
    return msgspec.json.decode(text, type=Deployment)


def text_digest(text: str) -> str:
    """Returns the digest by which a received configuration is checked."""
    return blake2b(text.encode(), digest_size=16).hexdigest()
