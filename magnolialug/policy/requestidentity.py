"""What two requests can have in common when an endpoint crashes."""

from collections.abc import Iterable
from hashlib import blake2b

import msgspec

from magnolialug.ids import RequestDigest, ServiceName, TeamId

__all__ = ["RequestIdentity", "part_names"]

# Names and numbers of parts are callers' own. A longer name stands as its
# digest, and parts beyond the limit are left out, so that a few prompts fit
# into a message between entries.
_MAX_NAME_LENGTH = 32
_NAME_DIGEST_BYTES = 16
_MAX_PARTS = 256


def part_names(names: Iterable[str]) -> tuple[str, ...]:
    """Returns the names by which the quarantine knows parts of a prompt."""
    known = []
    for name in names:
        if len(known) == _MAX_PARTS:
            break
        if len(name) > _MAX_NAME_LENGTH:
            data = name.encode()
            name = blake2b(data, digest_size=_NAME_DIGEST_BYTES).hexdigest()
        known.append(name)
    return tuple(known)


class RequestIdentity(msgspec.Struct, frozen=True):
    """What identifies a request, and what it shares with others.

    Attributes:
      parts: the names of the prompt's shared parts, in order, as `part_names`
        returns them; empty for a request without a prompt.
    """

    digest: RequestDigest
    service: ServiceName
    team: TeamId
    parts: tuple[str, ...] = ()
