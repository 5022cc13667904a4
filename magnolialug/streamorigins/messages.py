"""Messages between entries about what began a stream, one datagram each.

The tags must not change: during a rolling upgrade, entries of two releases
exchange these messages.
"""

import msgspec

from magnolialug.ids import ServiceName, SoftwareVersion
from magnolialug.policy.streamorigin import Origin, OriginKey

__all__ = ["OriginNotice", "OriginQuery", "OriginReply"]


class OriginNotice(msgspec.Struct, frozen=True, array_like=True, tag="stream"):
    """The first event of a stream is being forwarded, or it goes on.

    Attributes:
      lifetime_s: how long it may be taken up from now on.
    """

    key: OriginKey
    origin: Origin
    lifetime_s: float


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag="stream?"):
    """Queries an entry for what began a stream.

    Attributes:
      lifetime_s: how long ago the stream can have begun.
    """

    number: int
    key: OriginKey
    service: ServiceName
    lifetime_s: float


class OriginReply(msgspec.Struct, frozen=True, array_like=True, tag="stream!"):
    """The reply to an OriginQuery.

    Attributes:
      origin: None if the sender does not know it.
      ambiguous: whether the sender knows two origins.
      age_s: how long ago the sender learned it.
      only_version: the service's only version throughout the lifetime, None
        if there were several or the sender has not followed it for so long.
      revision: the registry's revision up to which the sender has followed it.
    """

    number: int
    origin: Origin | None = None
    ambiguous: bool = False
    age_s: float = 0.0
    only_version: SoftwareVersion | None = None
    revision: int = 0
