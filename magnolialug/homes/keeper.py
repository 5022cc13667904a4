"""Keeps the accounts of the endpoints that this entry is home of."""

from collections import OrderedDict
from collections.abc import Callable

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.homes.messages import (
    Ask,
    Told,
    Turn,
    TurnWord,
    Unwait,
    Wait,
    Work,
)
from magnolialug.ids import EndpointId
from magnolialug.policy.endpointaccount import EndpointAccount
from magnolialug.policy.readingtime import PRIORITIES, reading_s
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import summed
from magnolialug.policy.turnqueue import Queued, TurnQueue
from magnolialug.policy.turns import Waiting

__all__ = ["HEADROOM", "EndpointFacts", "Keeper"]

# What must be left free beside a large prompt: short and urgent ones come at
# any moment, and answers grow. With 15% in its place, more prompts waited and
# fewer were in time on days of overload.
HEADROOM = 0.05
# Room is looked for this often while somebody waits; a look costs some 50 us.
_LOOK_S = 0.02
# What is promised to a prompt is kept for it this long: it takes two crossings
# of the network until its request is told of.
_PROMISE_S = 0.06
# Accounts of endpoints that are gone, and starts of entries, are forgotten.
_CLEAN_S = 1.0
_MOST_ENTRIES = 2_000


class EndpointFacts(msgspec.Struct, frozen=True):
    """What the home's own process knows of an endpoint.

    Attributes:
      memory: tokens, 0 for a plain service.
      rate: prompt tokens read in a second.
      open: whether it may get new work, now or soon.
      sound: whether nothing speaks against it at the moment.
      born_ms: its start, 0 if not known.
    """

    memory: int
    rate: float
    open: bool
    sound: bool
    born_ms: int


class _Promise(msgspec.Struct):
    tokens: int
    unread: int
    priority: int
    until: float


class _Kept(msgspec.Struct):
    """An account, who waits, and what has been promised."""

    account: EndpointAccount
    queue: TurnQueue
    promises: dict[tuple[str, int], _Promise]


class Keeper:
    """Answers questions, and lets waiting prompts go, one list an engine.

    Args:
      facts: returns what is known of an endpoint, None if it is not listed.
      rollout: returns the newest rollout that this entry knows.
      on_rollout: is told of those that others know.
      send: sends a message to an entry.
    """

    def __init__(
        self,
        facts: Callable[[EndpointId], EndpointFacts | None],
        rollout: Callable[[], Rollout | None],
        on_rollout: Callable[[Rollout], None],
        send: Callable[[Turn, Address], None],
        clock: IReactorTime,
    ):
        self._facts = facts
        self._rollout = rollout
        self._on_rollout = on_rollout
        self._send = send
        self._clock = clock
        self._kept: dict[EndpointId, _Kept] = {}
        self._numbers: OrderedDict[str, int] = OrderedDict()
        self._askers: dict[str, Address] = {}
        self._timer = None
        self._clean_at = 0.0

    @property
    def waiting(self) -> int:
        """How many places prompts have on the lists here."""
        return sum(len(kept.queue) for kept in self._kept.values())

    def work(self, work: Work) -> None:
        """Takes an entry's work."""
        if work.number <= self._numbers.get(work.entry, 0):
            return
        self._numbers[work.entry] = work.number
        self._numbers.move_to_end(work.entry)
        if len(self._numbers) > _MOST_ENTRIES:
            self._numbers.popitem(last=False)
        now = self._clock.seconds()
        for share in work.shares:
            kept = self._of(share.endpoint, share.born_ms)
            if kept is not None:
                kept.account.told(work.entry, share, now)
        for placement in work.placements:
            kept = self._of(placement.endpoint, placement.born_ms)
            if kept is not None:
                kept.account.placed(placement)
        if work.rollout is not None:
            self._on_rollout(work.rollout)

    def ask(self, ask: Ask) -> Told:
        """Returns the states of the endpoints that are asked about."""
        now = self._clock.seconds()
        states = []
        for asked in ask.endpoints:
            kept = self._of(asked.endpoint, 0)
            if kept is None:
                continue
            self._forget_old(kept, now)
            reserved = sum(row.tokens for row in kept.promises.values())
            states.append(
                kept.account.state(
                    ask.entry,
                    now,
                    asked.salt,
                    ask.parts,
                    reserved,
                    len(kept.queue),
                )
            )
        rollout = self._rollout()
        newer = rollout is not None and rollout.number > ask.rollout
        return Told(ask.number, tuple(states), rollout if newer else None)

    def wait(self, wait: Wait, asker: Address) -> None:
        """Puts a prompt on an engine's list, and says so."""
        ticket = (wait.entry, wait.number)
        self._askers[wait.entry] = asker
        kept = self._of(wait.endpoint, 0)
        now = self._clock.seconds()
        if kept is None or not self._is_open(wait.endpoint):
            self._say(ticket, wait.endpoint, TurnWord.GONE)
            return
        if ticket in kept.promises:
            self._say(ticket, wait.endpoint, TurnWord.GRANTED)
            return
        memory = max(1, kept.account.memory)
        waiting = Waiting(
            number=0,
            priority=wait.priority,
            target_at=now + wait.target_ms / 1000,
            ends_at=now + wait.ends_ms / 1000,
            size=wait.tokens / memory,
        )
        kept.queue.put(
            Queued(
                ticket,
                waiting,
                wait.tokens,
                wait.unread,
                wait.ahead_ms / 1000,
                wait.lists,
                wait.first,
                now,
            )
        )
        after_s = kept.queue.vain_s(ticket, now)
        if after_s is None:
            self._say(ticket, wait.endpoint, TurnWord.QUEUED)
        else:
            self._say(ticket, wait.endpoint, TurnWord.VAIN, after_s)
        self._look_later()

    def unwait(self, unwait: Unwait) -> None:
        """Takes a prompt from all lists."""
        ticket = (unwait.entry, unwait.number)
        for kept in self._kept.values():
            kept.queue.drop(ticket)
            kept.promises.pop(ticket, None)

    def tick(self, now: float) -> None:
        """Forgets what is over."""
        if now < self._clean_at:
            return
        self._clean_at = now + _CLEAN_S
        for endpoint, kept in list(self._kept.items()):
            self._forget_old(kept, now)
            if self._facts(endpoint) is None and kept.account.idle():
                del self._kept[endpoint]
        entries = {entry for entry, _ in self._tickets()}
        for entry in set(self._askers) - entries:
            del self._askers[entry]

    def stop(self) -> None:
        """Lets nobody go any more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _tickets(self) -> list[tuple[str, int]]:
        return [
            ticket
            for kept in self._kept.values()
            for ticket in (*kept.queue.tickets(), *kept.promises)
        ]

    def _of(self, endpoint: EndpointId, born_ms: int) -> _Kept | None:
        """Returns an endpoint's account; None for one of an earlier start."""
        kept = self._kept.get(endpoint)
        facts = self._facts(endpoint)
        born_ms = born_ms or (facts.born_ms if facts else 0)
        if kept is not None and _is_current(kept.account, facts, born_ms):
            kept.account.born_ms = max(kept.account.born_ms, born_ms)
            return kept
        if kept is not None and 0 < born_ms < kept.account.born_ms:
            return None
        memory = facts.memory if facts else 0
        account = EndpointAccount(endpoint, memory, born_ms)
        self._kept[endpoint] = _Kept(account, TurnQueue(), {})
        return self._kept[endpoint]

    def _forget_old(self, kept: _Kept, now: float) -> None:
        kept.account.forget_silent(now)
        kept.queue.forget_silent(now)
        for ticket, row in list(kept.promises.items()):
            if now >= row.until:
                del kept.promises[ticket]

    def _is_open(self, endpoint: EndpointId) -> bool:
        facts = self._facts(endpoint)
        return facts is not None and facts.open

    def _look_later(self) -> None:
        if self._timer is None and any(
            len(kept.queue) for kept in self._kept.values()
        ):
            self._timer = self._clock.callLater(_LOOK_S, self._look)

    def _look(self) -> None:
        self._timer = None
        now = self._clock.seconds()
        for endpoint, kept in self._kept.items():
            if len(kept.queue):
                self._forget_old(kept, now)
                self._let_go(endpoint, kept, now)
        self._look_later()

    def _let_go(self, endpoint: EndpointId, kept: _Kept, now: float) -> None:
        if not self._is_open(endpoint):
            for ticket in kept.queue.clear():
                self._say(ticket, endpoint, TurnWord.GONE)
            return
        facts = self._facts(endpoint)
        if not facts.sound or kept.account.state("", now).silent:
            return
        rate = facts.rate
        while row := kept.queue.go(
            now, lambda row: _fits(kept, row, rate, now)
        ):
            kept.promises[row.ticket] = _Promise(
                row.tokens, row.unread, row.waiting.priority, now + _PROMISE_S
            )
            self._say(row.ticket, endpoint, TurnWord.GRANTED)

    def _say(
        self,
        ticket: tuple[str, int],
        endpoint: EndpointId,
        word: TurnWord,
        after_s: float = 0.0,
    ) -> None:
        entry, number = ticket
        address = self._askers.get(entry)
        if address is not None:
            turn = Turn(number, endpoint, word, int(after_s * 1000))
            self._send(turn, address)


def _is_current(
    account: EndpointAccount, facts: EndpointFacts | None, born_ms: int
) -> bool:
    """Whether an account is of this start, and of all its memory."""
    same = not born_ms or not account.born_ms or born_ms == account.born_ms
    return same and (facts is None or facts.memory == account.memory)


def _fits(kept: _Kept, row: Queued, rate: float, now: float) -> bool:
    """Whether an engine has room for a prompt, and reads it soon enough."""
    state = kept.account.state("", now)
    promised = kept.promises.values()
    held = state.held + sum(promise.tokens for promise in promised)
    if not held:
        return True
    reading = [state.reading]
    for promise in promised:
        place = min(promise.priority, PRIORITIES - 1)
        reading.append((0,) * place + (promise.unread,))
    running = state.running + len(promised)
    priority = row.waiting.priority
    if reading_s(summed(reading), running, priority, rate) > row.ahead_s:
        return False
    room = 1.0 - (held + row.tokens) / max(1, kept.account.memory)
    return room >= HEADROOM
