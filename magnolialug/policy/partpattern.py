"""Patterns of the prompts that crash endpoints."""

from hashlib import blake2b

import msgspec

from magnolialug.ids import RequestDigest, ServiceName, TeamId
from magnolialug.policy.requestidentity import RequestIdentity

__all__ = ["PartPattern"]

_DIGEST_BYTES = 16


class PartPattern(msgspec.Struct, frozen=True, array_like=True):
    """Matches the prompts of a service that have all of some parts.

    Attributes:
      team: the team whose requests it matches, "" for any.
      parts: in alphabetical order, at least one.
    """

    service: ServiceName
    team: TeamId
    parts: tuple[str, ...]

    @property
    def digest(self) -> RequestDigest:
        """Identifies the pattern; equal at every entry."""
        data = msgspec.msgpack.encode(self)
        digest = blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()
        return RequestDigest(digest)

    def matches(self, identity: RequestIdentity) -> bool:
        """Whether a request has all that the pattern names."""
        return (
            self.service == identity.service
            and self.team in ("", identity.team)
            and set(self.parts) <= set(identity.parts)
        )
