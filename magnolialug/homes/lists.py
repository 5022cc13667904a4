"""Lets waiting prompts go, one list for each engine."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.homes.accounts import Accounts
from magnolialug.homes.messages import Turn, TurnWord, Unwait, Wait
from magnolialug.ids import EndpointId
from magnolialug.policy.endpointaccount import EndpointAccount
from magnolialug.policy.turnqueue import Queued
from magnolialug.policy.turns import Waiting

__all__ = ["Lists"]

# Room is looked for this often while a prompt waits.
_LOOK_S = 0.02
# From a grant to the first event on a busy engine, without the time to read the
# prompt itself.
_FIRST_EVENT_S = 0.2
# Prompt tokens a second of an engine that has not answered yet.
_USUAL_RATE = 75_000.0

Ticket = tuple[str, int]


class Lists:
    """The lists of the engines that this entry is home of.

    Args:
      send: sends a message to an entry.
    """

    def __init__(
        self,
        accounts: Accounts,
        send: Callable[[Turn, Address], None],
        clock: IReactorTime,
    ):
        self._accounts = accounts
        self._send = send
        self._clock = clock
        self._askers: dict[str, Address] = {}
        self._timer = None

    @property
    def waiting(self) -> int:
        """How many places prompts have on the lists here."""
        return sum(len(account.queue) for account in self._accounts)

    def wait(self, wait: Wait, asker: Address) -> None:
        """Puts a prompt on an engine's list, and says so."""
        ticket = (wait.entry, wait.number)
        self._askers[wait.entry] = asker
        account = self._accounts.of(wait.endpoint)
        if not self._is_open(wait.endpoint):
            self._say(ticket, wait.endpoint, TurnWord.GONE)
        elif account.has_promised(ticket):
            self._say(ticket, wait.endpoint, TurnWord.GRANTED)
        else:
            self._put(account, ticket, wait)

    def unwait(self, unwait: Unwait) -> None:
        """Takes a prompt from all lists."""
        for account in self._accounts:
            account.leave((unwait.entry, unwait.number))

    def stop(self) -> None:
        """Lets nobody go any more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _put(
        self, account: EndpointAccount, ticket: Ticket, wait: Wait
    ) -> None:
        now = self._clock.seconds()
        waiting = Waiting(
            number=0,
            priority=wait.priority,
            target_at=now + wait.target_ms / 1000,
            ends_at=now + wait.ends_ms / 1000,
            size=wait.tokens / max(1, account.memory),
            first_event_s=_FIRST_EVENT_S + wait.unread / self._rate(wait),
        )
        row = Queued(
            ticket=ticket,
            waiting=waiting,
            tokens=wait.tokens,
            unread=wait.unread,
            ahead_s=wait.ahead_ms / 1000,
            lists=wait.lists,
            first=wait.first,
            heard_at=now,
        )
        account.queue.put(row)
        after_s = account.queue.vain_s(ticket, now)
        word = TurnWord.QUEUED if after_s is None else TurnWord.VAIN
        self._say(ticket, wait.endpoint, word, after_s or 0.0)
        self._look_later()

    def _rate(self, wait: Wait) -> float:
        facts = self._accounts.facts(wait.endpoint)
        return facts.rate if facts and facts.rate else _USUAL_RATE

    def _is_open(self, endpoint: EndpointId) -> bool:
        facts = self._accounts.facts(endpoint)
        return facts is not None and facts.open

    def _look_later(self) -> None:
        if self._timer is None and self.waiting:
            self._timer = self._clock.callLater(_LOOK_S, self._look)

    def _look(self) -> None:
        self._timer = None
        now = self._clock.seconds()
        for account in self._accounts:
            if len(account.queue):
                account.forget_old(now)
                self._let_go(account, now)
        if not self.waiting:
            self._askers.clear()
        self._look_later()

    def _let_go(self, account: EndpointAccount, now: float) -> None:
        endpoint = account.endpoint
        if not self._is_open(endpoint):
            for ticket in account.queue.clear():
                self._say(ticket, endpoint, TurnWord.GONE)
            return
        facts = self._accounts.facts(endpoint)
        if not facts.sound or account.is_silent(now):
            return
        while row := account.let_go(now, facts.rate):
            self._say(row.ticket, endpoint, TurnWord.GRANTED)

    def _say(
        self,
        ticket: Ticket,
        endpoint: EndpointId,
        word: TurnWord,
        after_s: float = 0.0,
    ) -> None:
        entry, number = ticket
        address = self._askers.get(entry)
        if address is not None:
            turn = Turn(number, endpoint, word, int(after_s * 1000))
            self._send(turn, address)
