"""Messages between entries about ended starts, one datagram each.

The tag must not change: during a rolling upgrade, entries of two releases
exchange these messages.
"""

import msgspec

from magnolialug.policy.startreport import StartReport

__all__ = ["StartNotice"]


class StartNotice(msgspec.Struct, frozen=True, array_like=True, tag="ended"):
    """The sender has found that a start of an endpoint has ended.

    Attributes:
      age_ms: how long ago it found that.
    """

    report: StartReport
    age_ms: int = 0
