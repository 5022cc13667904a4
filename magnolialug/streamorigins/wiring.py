"""Records what began each resumable stream, and finds it on a return."""

import enum
from functools import partial

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.registrycopy import RegistryCopy
from magnolialug.ids import SoftwareVersion
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.owners.pendingqueries import PendingQueries
from magnolialug.owners.wiring import Messenger
from magnolialug.policy.softwarehistory import SoftwareHistory
from magnolialug.policy.streamorigin import (
    Origin,
    OriginKey,
    OriginTable,
    origin_key,
    stream_lifetime_s,
)
from magnolialug.streamorigins.messages import (
    OriginNotice,
    OriginQuery,
    OriginReply,
)

__all__ = ["Found", "FoundBy", "StreamOrigins"]

# Entries that are told of each stream. With two beside the entry that began it,
# and a third of all killed at once, one origin in twenty-seven is lost.
_NOTIFIED_ENTRIES = 2
# Further entries that are queried if those do not know it: the entry that began
# the stream may be among them, and the ring may have changed since.
_FURTHER_ENTRIES = 16
_CLEANUP_INTERVAL_S = 1.0


class FoundBy(enum.Enum):
    """How an entry knows which version may continue a stream.

    OWN: it began the stream, or was told of it.
    ENTRY: another entry was.
    ONLY_VERSION: no other version has served since the stream can have begun.
    UNKNOWN: it does not know.
    UNCONFIRMED: it does not know, and its copy of the registry may be old.
    AMBIGUOUS: the caller has begun two streams under one id.
    """

    OWN = "own"
    ENTRY = "entry"
    ONLY_VERSION = "only version"
    UNKNOWN = "unknown"
    UNCONFIRMED = "unconfirmed"
    AMBIGUOUS = "ambiguous"


class Found(msgspec.Struct, frozen=True):
    """What is known of a stream's origin.

    Attributes:
      origin: None if it is unknown or ambiguous.
      age_s: how long ago it was learned, by the entry that knows it.
      others: how many other entries there are, if any was asked.
      asked: how many of them were.
      answered: how many replied in time.
      own_version: the only version by this entry's own copy of the registry.
      vouched_versions: the only versions by the copies of other entries.
    """

    by: FoundBy
    origin: Origin | None = None
    age_s: float = 0.0
    others: int = 0
    asked: int = 0
    answered: int = 0
    own_version: SoftwareVersion | None = None
    vouched_versions: tuple[SoftwareVersion, ...] = ()

    @property
    def may_be_known_elsewhere(self) -> bool:
        """Whether an entry may know the origin that was not heard of here."""
        if self.by is FoundBy.UNCONFIRMED:
            return True
        return self.by is FoundBy.UNKNOWN and self.answered < self.others


class StreamOrigins:
    """Tells a few entries of each stream's origin, and queries them.

    The entry to which a caller returns has mostly not seen the stream begin,
    and the one that has may be dead. So the origin is sent to entries that
    the stream's key selects, before the first event is forwarded.

    Args:
      ring: selects the entries.
      pending: sends queries and collects the replies.
      history: the software versions that have served in each service.
      registry: confirms that none of them has been missed.
    """

    def __init__(
        self,
        ring: OwnerRing,
        pending: PendingQueries,
        history: SoftwareHistory,
        registry: RegistryCopy,
        messenger: Messenger,
        clock: IReactorTime,
    ):
        self._ring = ring
        self._pending = pending
        self._history = history
        self.registry = registry
        self._messenger = messenger
        self._clock = clock.seconds
        self._table = OriginTable()
        self._cleanup_at = 0.0
        messenger.register_handler(
            OriginNotice, lambda notice, _: self._add(notice)
        )
        messenger.register_handler(
            OriginQuery,
            lambda query, sender: messenger.send(self._reply(query), sender),
        )
        messenger.register_handler(OriginReply, pending.on_reply)

    def record(self, call: ForwardCall, software: SoftwareVersion) -> None:
        """Records the version whose event of a stream is to be forwarded."""
        began_by = call.name
        if call.resume_after:
            began_by = call.resumes
        if not began_by:
            return
        key = origin_key(call.team, began_by)
        lifetime_s = stream_lifetime_s(call.route.timeout_s)
        notice = OriginNotice(key, Origin(call.service, software), lifetime_s)
        self._add(notice)
        for entry in self._others(key)[:_NOTIFIED_ENTRIES]:
            self._messenger.send(notice, entry)

    async def find(self, call: ForwardCall) -> Found:
        """Returns what began the stream that a call takes up."""
        key = origin_key(call.team, call.resumes)
        found = self._own(key)
        if found is not None:
            return found
        replies: list[OriginReply] = []
        asked = 0
        selected = self._others(key)
        further = [a for a in self._ring.others if a not in selected]
        for entries in (selected, further[:_FURTHER_ENTRIES]):
            asked += len(entries)
            replies += await self._query(key, call, entries)
            found = _origin_in(replies)
            if found is not None:
                break
        else:
            found = await self._find_only_version(key, call, replies)
        return msgspec.structs.replace(
            found,
            others=len(self._ring.others),
            asked=asked,
            answered=len(replies),
        )

    def _own(self, key: OriginKey) -> Found | None:
        """Returns what this entry knows itself of a stream."""
        now = self._clock()
        if self._table.is_ambiguous(key, now):
            return Found(FoundBy.AMBIGUOUS)
        origin = self._table.find(key, now)
        if origin is None:
            return None
        return Found(FoundBy.OWN, origin, self._table.age_s(key, now))

    def tick(self, now: float) -> None:
        """Forgets streams that can no longer be taken up."""
        if now >= self._cleanup_at:
            self._cleanup_at = now + _CLEANUP_INTERVAL_S
            self._table.drop_expired(now)

    def _others(self, key: OriginKey) -> list[Address]:
        """Returns the other entries that a key selects."""
        candidates = self._ring.transient_candidates(key.hex())
        return [entry for entry in candidates if entry != self._ring.me]

    async def _query(
        self, key: OriginKey, call: ForwardCall, entries: list[Address]
    ) -> list[OriginReply]:
        lifetime_s = stream_lifetime_s(call.route.timeout_s)
        query = partial(
            OriginQuery, key=key, service=call.service, lifetime_s=lifetime_s
        )
        return await self._pending.ask(dict.fromkeys(entries, query))

    async def _find_only_version(
        self, key: OriginKey, call: ForwardCall, replies: list[OriginReply]
    ) -> Found:
        """Returns the only version of the service, if there was one only.

        Nobody has heard of the stream, which says nothing while this entry or
        those that know it are cut off.
        """
        lifetime_s = stream_lifetime_s(call.route.timeout_s)
        now = self._clock()
        seen = self._history.versions(call.service, lifetime_s, now)
        is_rerouted = self._history.was_rerouted(call.service, lifetime_s, now)
        if len(seen) > 1 or is_rerouted:
            return Found(FoundBy.UNKNOWN)
        if not await self.registry.confirm(call.deadline):
            return Found(FoundBy.UNCONFIRMED)
        # A notice may have arrived meanwhile.
        return self._own(key) or self._only_version(call, replies)

    def _only_version(
        self, call: ForwardCall, replies: list[OriginReply]
    ) -> Found:
        """Returns the only version of the service, if any entry is sure of it.

        What this entry itself has seen must not speak against it. It has seen
        all that was listed since it follows the registry, so another entry is
        believed only if it has followed it until then.
        """
        lifetime_s = stream_lifetime_s(call.route.timeout_s)
        now = self._clock()
        own = self._history.only_version(call.service, lifetime_s, now)
        vouched = self._vouched(replies)
        sure = vouched | ({own} - {None})
        seen = self._history.versions(call.service, lifetime_s, now)
        found = Found(
            FoundBy.UNKNOWN,
            own_version=own,
            vouched_versions=tuple(sorted(vouched)),
        )
        if len(sure) != 1 or not seen <= sure:
            return found
        if self._history.was_rerouted(call.service, lifetime_s, now):
            return found
        (software,) = sure
        return msgspec.structs.replace(
            found,
            by=FoundBy.ONLY_VERSION,
            origin=Origin(call.service, software),
        )

    def _vouched(self, replies: list[OriginReply]) -> set[SoftwareVersion]:
        """Returns the versions of which other entries are sure."""
        if self._history.known_since is None:
            return set()
        known_from = self._history.known_from
        named = {r.only_version for r in replies if r.revision >= known_from}
        return named - {None}

    def _add(self, notice: OriginNotice) -> None:
        self._table.add(
            notice.key, notice.origin, notice.lifetime_s, self._clock()
        )

    def _reply(self, query: OriginQuery) -> OriginReply:
        now = self._clock()
        key = query.key
        origin = self._table.find(key, now)
        return OriginReply(
            query.number,
            origin,
            self._table.is_ambiguous(key, now),
            self._table.age_s(key, now) if origin else 0.0,
            self._history.only_version(query.service, query.lifetime_s, now),
            self.registry.revision,
        )


def _origin_in(replies: list[OriginReply]) -> Found | None:
    """Returns the origin that replies name, None if they name none."""
    origins = {reply.origin for reply in replies} - {None}
    if len(origins) > 1 or any(reply.ambiguous for reply in replies):
        return Found(FoundBy.AMBIGUOUS)
    if not origins:
        return None
    age_s = max(reply.age_s for reply in replies if reply.origin)
    return Found(FoundBy.ENTRY, origins.pop(), age_s)
