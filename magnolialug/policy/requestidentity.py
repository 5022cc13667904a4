"""What two requests can have in common when an endpoint crashes."""

import msgspec

from magnolialug.ids import RequestDigest, ServiceName, TeamId

__all__ = ["RequestIdentity"]


class RequestIdentity(msgspec.Struct, frozen=True):
    """What identifies a request, and what it shares with others.

    Attributes:
      parts: the names of the prompt's shared parts, in order; empty for a
        request without a prompt.
    """

    digest: RequestDigest
    service: ServiceName
    team: TeamId
    parts: tuple[str, ...] = ()
