"""Asks the homes of endpoints what those have to do."""

from collections.abc import Callable, Sequence
from functools import partial

from magnolialug.carrier.pool import Address
from magnolialug.homes.homebook import HomeBook
from magnolialug.homes.messages import Ask, AskedEndpoint, Told
from magnolialug.homes.questions import Questions
from magnolialug.ids import EndpointId
from magnolialug.policy.prompt import Part
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import EndpointState

__all__ = ["Asker"]


class Asker:
    """Asks about a few endpoints at the moment of a choice.

    Args:
      entry: names this start of this process.
      book: tells who keeps the account of an endpoint.
      rollout: returns the newest rollout that this entry knows.
      on_rollout: is told of newer ones.
    """

    def __init__(
        self,
        entry: str,
        book: HomeBook,
        questions: Questions,
        rollout: Callable[[], Rollout | None],
        on_rollout: Callable[[Rollout], None],
    ):
        self._entry = entry
        self._book = book
        self._questions = questions
        self._rollout = rollout
        self._on_rollout = on_rollout

    async def ask(
        self, endpoints: Sequence[AskedEndpoint], parts: tuple[Part, ...]
    ) -> dict[EndpointId, EndpointState]:
        """Returns the states of those endpoints whose homes answer."""
        rollout = self._rollout()
        known = rollout.number if rollout else 0
        by_home: dict[Address, list[AskedEndpoint]] = {}
        for asked in endpoints:
            home = self._book.home(asked.endpoint)
            by_home.setdefault(home, []).append(asked)
        answers: list[Told] = await self._questions.ask(
            {
                home: partial(
                    Ask,
                    self._entry,
                    endpoints=tuple(rows),
                    parts=parts,
                    rollout=known,
                )
                for home, rows in by_home.items()
            }
        )
        for told in answers:
            if told.rollout is not None:
                self._on_rollout(told.rollout)
        return {
            state.endpoint: state for told in answers for state in told.states
        }
