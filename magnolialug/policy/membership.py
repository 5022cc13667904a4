"""Endpoint membership, from the configured list and connection states."""

import enum
from collections.abc import Iterable

import msgspec

from magnolialug.ids import EndpointId

__all__ = ["MemberState", "Members"]

_SLOW_START_S = 10.0
_MAX_EJECTED_SHARE = 0.34


class MemberState(enum.Enum):
    """State of an endpoint as one entry sees it."""

    UNKNOWN = "unknown"
    UP = "up"
    SUSPECT = "suspect"
    LEAVING = "leaving"


class _Member(msgspec.Struct):
    state: MemberState = MemberState.UNKNOWN
    up_since: float = 0.0
    first: bool = True


class Members:
    """Membership as one entry sees it.

    The list lags, so the state of the connection takes precedence. A drain
    notice makes an endpoint leaving at once. A lost or silent connection makes
    it suspect until it answers again. If a switch cuts this entry off the
    network, all endpoints look dead at once, and ejecting them all would turn a
    short fault into a full outage. So only a share of each service's endpoints
    may be ejected as suspect; beyond it, suspects stay eligible.
    """

    def __init__(self) -> None:
        self._members: dict[EndpointId, _Member] = {}

    def listed(self, endpoints: Iterable[EndpointId]) -> None:
        """Replaces the set of members by those in the configuration or list."""
        named = set(endpoints)
        for gone in set(self._members) - named:
            del self._members[gone]
        for new in named - set(self._members):
            self._members[new] = _Member()

    def up(self, endpoint: EndpointId, now: float) -> None:
        """Records a connection that works."""
        member = self._members.get(endpoint)
        if member is None or member.state is MemberState.UP:
            return
        returns = not member.first
        member.up_since = now if returns else now - _SLOW_START_S
        member.first = False
        member.state = MemberState.UP

    def down(self, endpoint: EndpointId) -> None:
        """Records a connection that was lost, refused or silent."""
        member = self._members.get(endpoint)
        if member and member.state is not MemberState.LEAVING:
            member.state = MemberState.SUSPECT
            member.first = False

    def leaving(self, endpoint: EndpointId) -> None:
        """Records a drain notice of an endpoint."""
        member = self._members.get(endpoint)
        if member:
            member.state = MemberState.LEAVING
            member.first = False

    def state(self, endpoint: EndpointId) -> MemberState:
        """Returns the state of an endpoint."""
        member = self._members.get(endpoint)
        return member.state if member else MemberState.UNKNOWN

    def eligible(self, pool: Iterable[EndpointId]) -> set[EndpointId]:
        """Returns the endpoints of a service that may get work."""
        pool = list(pool)
        good = {e for e in pool if self.state(e) is MemberState.UP}
        held = [
            e
            for e in pool
            if self.state(e) in (MemberState.SUSPECT, MemberState.UNKNOWN)
        ]
        allowed = int(len(pool) * _MAX_EJECTED_SHARE)
        if len(held) > max(1, allowed) or not good:
            good.update(held)
        return good

    def slow_start(self, endpoint: EndpointId, now: float) -> float:
        """Returns the share of its capacity that an endpoint may use."""
        member = self._members.get(endpoint)
        if member is None:
            return 0.1
        return min(1.0, max(0.1, (now - member.up_since) / _SLOW_START_S))
