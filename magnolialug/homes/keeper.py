"""Keeps the accounts of endpoints, and answers questions about them."""

from collections import OrderedDict
from collections.abc import Callable

from magnolialug.homes.accounts import Accounts
from magnolialug.homes.messages import Ask, Told, Work
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import Placement, WorkShare

__all__ = ["Keeper"]

# Starts of entries whose newest message is remembered. Twice the entries of
# the largest fleet, all of which start again within a few seconds.
_MOST_ENTRIES = 2_000


class Keeper:
    """Takes what entries tell of their work, and says what all of it is.

    Args:
      rollout: returns the newest rollout that this entry knows.
      on_rollout: is told of those that others know.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        accounts: Accounts,
        rollout: Callable[[], Rollout | None],
        on_rollout: Callable[[Rollout], None],
        clock: Callable[[], float],
    ):
        self._accounts = accounts
        self._rollout = rollout
        self._on_rollout = on_rollout
        self._clock = clock
        self._numbers: OrderedDict[str, int] = OrderedDict()

    def work(self, work: Work) -> None:
        """Takes an entry's work."""
        if work.number <= self._numbers.get(work.entry, 0):
            return
        self._numbers[work.entry] = work.number
        self._numbers.move_to_end(work.entry)
        if len(self._numbers) > _MOST_ENTRIES:
            self._numbers.popitem(last=False)
        now = self._clock()
        for share in work.shares:
            if self._is_current(share):
                account = self._accounts.of(share.endpoint, share.born_ms)
                account.told(work.entry, share, now)
        for placement in work.placements:
            if self._is_current(placement):
                account = self._accounts.of(
                    placement.endpoint, placement.born_ms
                )
                account.placed(placement)
        if work.rollout is not None:
            self._on_rollout(work.rollout)

    def ask(self, ask: Ask) -> Told:
        """Returns the states of the endpoints that are asked about."""
        now = self._clock()
        states = []
        for asked in ask.endpoints:
            account = self._accounts.of(asked.endpoint)
            account.forget_old(now)
            states.append(account.state(ask.entry, now, asked.salt, ask.parts))
        rollout = self._rollout()
        newer = rollout is not None and rollout.number > ask.rollout
        return Told(ask.number, tuple(states), rollout if newer else None)

    def _is_current(self, told: WorkShare | Placement) -> bool:
        """Whether something is told of the newest start of an endpoint."""
        if not told.born_ms:
            return True
        return told.born_ms >= self._accounts.of(told.endpoint).born_ms
