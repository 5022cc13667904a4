"""This entry's sends to an endpoint that has limited its request rate."""

from collections import deque

from magnolialug.policy.limitnotice import KnownLimit, LimitNotice
from magnolialug.policy.sendslots import SendSlots

__all__ = ["MIN_RATE", "PERMIT_S", "SendLimit"]

# Requests per second that an endpoint gets even below this limit, from all
# entries together. Its answers alone tell that a limit has ended.
MIN_RATE = 0.25
# A permit is used within the choice that asked for it, or not at all.
PERMIT_S = 0.03
# Part of its equal share that an entry uses while it cannot ask the owner. The
# owner hands out the whole rate to those that can, and an endpoint tolerates
# 1.5 times its limit.
_UNASKED_SHARE = 0.5
# The sends of this time before a limit is known count against it, and before
# another entry becomes the owner.
_RECENT_S = 1.0
# Shortest time after which a refused caller may return.
_MIN_WAIT_S = 0.05
# Longest time until the owner is asked again, which may know that the limit has
# ended, and until an owner that has not replied is.
_ASK_AGAIN_S = 1.0
_ASK_SILENT_AGAIN_S = 0.25


class SendLimit:
    """Decides whether this entry may send to an endpoint.

    The endpoint's owner hands out permits for the requests of all entries, so
    those that have requests can use the whole rate. If the owner does not
    reply, this entry keeps to a part of its equal share, in send slots.

    Attributes:
      known: the limit, from all that is known of the endpoint's answers.
      sent: all requests that this entry has sent.
    """

    def __init__(self):
        self.known = KnownLimit()
        self.sent = 0
        self._permits: deque[float] = deque()
        self._sent_at: deque[float] = deque()
        self._slots = SendSlots()
        self._slots_until = float("-inf")
        self._ask_at = self._send_at = float("-inf")
        self._entries = 1
        self._phase = 0.0

    @property
    def rate(self) -> float | None:
        """The requests per second from all entries, None for no limit."""
        return self.known.rate

    def share(self, entries: int, phase: float) -> None:
        """Sets how many entries share the rate, and this one's phase."""
        self._entries = entries
        self._phase = phase
        self._share_slots()

    def record(self, notice: LimitNotice, now: float) -> bool:
        """Records a notice; returns whether the rate has changed."""
        before = self.rate
        if not self.known.record(notice):
            return False
        self._share_slots()
        if before is None:
            self._begin(now)
        else:
            self._slots.bring_forward(now)
        self._ask_at = self._send_at = float("-inf")
        return True

    def grant(self, wait_s: float, now: float) -> None:
        """Applies the owner's reply: a permit, or the time until the next."""
        if wait_s <= 0:
            self._permits.append(now + PERMIT_S)
        else:
            self._send_at = now + wait_s
            self._ask_at = now + min(wait_s, _ASK_AGAIN_S)

    def fall_back(self, now: float) -> None:
        """Keeps to this entry's send slots, because no owner has replied."""
        self._slots_until = now + PERMIT_S
        self._send_at = self._slots.next_at(now)
        self._ask_at = min(self._send_at, now + _ASK_SILENT_AGAIN_S)

    def may_ask(self, now: float) -> bool:
        """Whether the endpoint can be considered for a request."""
        return self.rate is None or now >= self._ask_at or self._has_permit(now)

    def may_send(self, now: float) -> bool:
        """Whether this entry may send a request now."""
        if self.rate is None or self._has_permit(now):
            return True
        return now < self._slots_until and now >= self._slots.next_at(now)

    def wait_s(self, now: float) -> float:
        """Returns the time until this entry may send a request."""
        if self.may_send(now):
            return 0.0
        return max(_MIN_WAIT_S, self._send_at - now)

    def record_sent(self, now: float) -> None:
        """Records a request that is sent."""
        self.sent += 1
        self._sent_at.append(now)
        self.recently_sent(now)
        if self.rate is None:
            return
        if self._has_permit(now):
            self._permits.popleft()
        else:
            self._slots.use(self._slots.next_at(now))

    def recently_sent(self, now: float) -> int:
        """Returns the requests sent a short while ago."""
        while self._sent_at and self._sent_at[0] <= now - _RECENT_S:
            self._sent_at.popleft()
        return len(self._sent_at)

    def _begin(self, now: float) -> None:
        """Begins to limit, without what is left of an earlier limit."""
        self._permits.clear()
        self._slots.begin(now)

    def _share_slots(self) -> None:
        if self.rate is not None:
            share = _UNASKED_SHARE * max(self.rate, MIN_RATE) / self._entries
            self._slots.share(share, self._phase)

    def _has_permit(self, now: float) -> bool:
        while self._permits and self._permits[0] <= now:
            self._permits.popleft()
        return bool(self._permits)
