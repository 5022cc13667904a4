"""The accounts of the endpoints that this entry is home of."""

from collections.abc import Callable, Iterator

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.endpointaccount import EndpointAccount

__all__ = ["Accounts", "EndpointFacts"]


class EndpointFacts(msgspec.Struct, frozen=True):
    """What the home's own process knows of an endpoint.

    Attributes:
      memory: tokens, 0 for a plain service.
      rate: prompt tokens read in a second.
      open: whether it may get new work, now or soon.
      sound: whether nothing speaks against it at the moment.
      born_ms: its start, 0 if not known.
      weights: the newest version that it is known to have, by model.
    """

    memory: int
    rate: float
    open: bool
    sound: bool
    born_ms: int
    weights: dict[str, int] = {}


class Accounts:
    """One account for each endpoint that was told of or asked about.

    Args:
      facts: returns what is known of an endpoint, None if it is not listed.
    """

    def __init__(self, facts: Callable[[EndpointId], EndpointFacts | None]):
        self.facts = facts
        self._accounts: dict[EndpointId, EndpointAccount] = {}

    def __iter__(self) -> Iterator[EndpointAccount]:
        return iter(list(self._accounts.values()))

    def of(self, endpoint: EndpointId, born_ms: int = 0) -> EndpointAccount:
        """Returns the account of an endpoint's newest start.

        Args:
          born_ms: the start that is told of, 0 if that is not known.
        """
        account = self._accounts.get(endpoint)
        facts = self.facts(endpoint)
        born_ms = born_ms or (facts.born_ms if facts else 0)
        if account is None or not (
            0 < born_ms < account.born_ms
            or _is_current(account, facts, born_ms)
        ):
            memory = facts.memory if facts else 0
            account = EndpointAccount(endpoint, memory, born_ms)
            self._accounts[endpoint] = account
        account.born_ms = max(account.born_ms, born_ms)
        account.knows(facts.weights if facts else {})
        return account

    def forget_old(self, now: float) -> None:
        """Forgets what is over, and endpoints that are gone."""
        for account in self:
            account.forget_old(now)
            if account.idle() and self.facts(account.endpoint) is None:
                del self._accounts[account.endpoint]


def _is_current(
    account: EndpointAccount, facts: EndpointFacts | None, born_ms: int
) -> bool:
    """Whether an account is of this start, and of all its memory."""
    same = not born_ms or not account.born_ms or born_ms == account.born_ms
    return same and (facts is None or facts.memory == account.memory)
