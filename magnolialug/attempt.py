"""One try at running one request, and what became of it."""

import enum

import msgspec

from magnolialug.jsoninput import Count, Finite

__all__ = ["Attempt", "AttemptState"]


class AttemptState(enum.Enum):
    """What a sidecar knows of an attempt."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    SEALED = "sealed"
    FAILED = "failed"
    FORGOTTEN = "forgotten"


class Attempt(msgspec.Struct, frozen=True, array_like=True):
    """Names one try at running one request at one sidecar start.

    Attributes:
      team: the team that asked; answers are never looked up without it.
      request_id: the request.
      number: 1 for the first attempt; a moved claim counts on.
      incarnation: the sidecar start that may run it.
      born: the sidecar's own monotonic clock in seconds, as the entry last
        heard it before it made the claim.
    """

    team: str
    request_id: str
    number: Count
    incarnation: str
    born: Finite

    @property
    def key(self) -> tuple[str, str, int]:
        """The attempt's address at its sidecar."""
        return (self.team, self.request_id, self.number)
