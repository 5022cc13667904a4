"""Copies of the endpoints' state, on which a preview may decide."""

import copy
from collections.abc import Iterator, Mapping

from magnolialug.carrier.pool import Pool
from magnolialug.entry.directory import Directory
from magnolialug.entry.peer import Peer
from magnolialug.ids import EndpointId, ServiceName
from magnolialug.policy.endpointnotice import NoticeSource
from magnolialug.policy.limitnotice import LimitNotice
from magnolialug.policy.partcache import PartCache
from magnolialug.policy.sharedload import EndpointState

__all__ = ["MAX_COMPARED", "ScratchDirectory", "ScratchPeer"]

# A search for a sound endpoint ends here, and with it the cost of a preview.
MAX_COMPARED = 24


class ScratchPool(Pool):
    """A copy of a pool's counts; its connections stay out of reach."""

    def __init__(self, pool: Pool):
        vars(self).update(vars(pool))

    def close(self) -> None:
        """Counts idle connections as closed, and closes none."""
        self._closed = True
        self._idle = []


class ScratchPeer(Peer):
    """A copy of a peer; what is applied to it reaches nothing else.

    Attributes:
      replied_at: when its owner replied to this preview, None if it has not.
    """

    replied_at: float | None = None

    @classmethod
    def of(cls, peer: Peer) -> "ScratchPeer":
        """Returns a copy of a peer."""
        shared = [peer.listed, *_shared(vars(peer))]
        if peer.load is not None:
            shared += _shared(vars(peer.load))
            # Only read by a preview, and long under load.
            shared += [peer.load._running, peer.load._estimator]
        memo = {id(value): value for value in shared}
        memo[id(peer.pool)] = ScratchPool(peer.pool)
        scratch = cls.__new__(cls)
        vars(scratch).update(copy.deepcopy(vars(peer), memo))
        return scratch

    def apply_shared_state(self, state: EndpointState, now: float) -> None:
        """Applies what the owner has replied."""
        super().apply_shared_state(state, now)
        self.replied_at = now

    def record_leaving(self, source: NoticeSource) -> None:
        """Gives it no more work, in the copy alone."""
        self.leaving_source = self.leaving_source or source
        self.pool.limit = 0
        self.pool.close()

    def record_limit(
        self, notice: LimitNotice, source: str, now: float
    ) -> None:
        """Records a limit, without the line of a limit that is in force."""
        self.limit.record(notice, now)

    def _log_cold(self, left_s: float) -> None:
        """Logs nothing: the gateway itself has not learned it."""


def _shared(fields: Mapping[str, object]) -> list[object]:
    """Returns what is not copied: callbacks, and caches that are only read."""
    return [
        value
        for value in fields.values()
        if callable(value) or isinstance(value, PartCache)
    ]


class _Copies(Mapping[EndpointId, Peer]):
    """Peers that are copied when they are first looked at."""

    def __init__(self, peers: Mapping[EndpointId, Peer]):
        self.made: dict[EndpointId, ScratchPeer] = {}
        self._peers = peers

    def __getitem__(self, name: EndpointId) -> ScratchPeer:
        if name not in self.made:
            self.made[name] = ScratchPeer.of(self._peers[name])
        return self.made[name]

    def __iter__(self) -> Iterator[EndpointId]:
        return iter(self._peers)

    def __len__(self) -> int:
        return len(self._peers)


class _Listed:
    """The peers of each service, copies where they have been made."""

    def __init__(self, by_service: Mapping, copies: _Copies):
        self._by_service = by_service
        self._copies = copies

    def get(self, service: ServiceName, default=()) -> list[Peer]:
        """Returns the peers of a service."""
        return [
            self._copies.made.get(peer.listed.endpoint, peer)
            for peer in self._by_service.get(service, default)
        ]


class ScratchDirectory(Directory):
    """A directory for one preview; only its questions may be used."""

    def __init__(self, directory: Directory):
        vars(self).update(vars(directory))
        self.peers = _Copies(directory.peers)
        self._by_service = _Listed(directory._by_service, self.peers)
        # Rings of the copied state are not left in the directory itself.
        self._rings = dict(directory._rings)

    @property
    def copies(self) -> dict[EndpointId, ScratchPeer]:
        """The endpoints that the preview has looked at."""
        return self.peers.made

    def size(self, service: ServiceName) -> int:
        """Returns how many peers of a service may be compared."""
        return min(MAX_COMPARED, super().size(service))

    def is_cut(self, service: ServiceName) -> bool:
        """Whether a request could look at more peers than a preview."""
        return super().size(service) > MAX_COMPARED
