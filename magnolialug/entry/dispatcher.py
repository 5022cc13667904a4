"""What an attempt tells its endpoint."""

from collections.abc import Callable

from magnolialug.entry.costs import Costs
from magnolialug.entry.dispatch import FROM_ENGINE, Dispatch
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.peer import Peer
from magnolialug.entry.proberesults import ProbeResults
from magnolialug.ids import ServiceName
from magnolialug.policy.partplan import MissReason, PartPlan, plan_part
from magnolialug.policy.prompt import Part, Prompt
from magnolialug.policy.storemap import StoreMap

__all__ = ["Dispatcher"]


class Dispatcher:
    """Plans where the parts of a prompt are read from, and kept.

    Args:
      costs: tells what an engine holds itself.
      stores: the stores of cache parts.
      newest: returns the newest version of a model that is known of.
    """

    def __init__(
        self, costs: Costs, stores: StoreMap, newest: Callable[[str], int]
    ):
        self._costs = costs
        self._stores = stores
        self._newest = newest

    def dispatch(
        self,
        call: ForwardCall,
        peer: Peer,
        resume_after: int,
        known: ProbeResults,
    ) -> Dispatch:
        """Returns what to tell an endpoint.

        Args:
          resume_after: the last event that the caller already has.
        """
        endpoint = peer.listed.endpoint
        if call.prompt is None:
            return Dispatch(endpoint, resume_after=resume_after)
        weights = peer.weights(call.prompt.model)
        salt = call.salt(weights)
        plans = self._plans(call.prompt, salt, weights, known)
        fetch, save = self._addresses(call.prompt, plans)
        held = self._costs.held(call, peer, known)
        return Dispatch(
            endpoint=endpoint,
            salt=salt,
            weights=weights,
            priority=call.priority,
            resume_after=resume_after,
            fetch=fetch,
            save=save,
            fetch_until_ms=min(
                (plan.until_ms for plan in plans if plan.fetch), default=0
            ),
            sources=_sources(call.prompt, held, plans),
        )

    def saves(
        self, prompt: Prompt, to: Dispatch
    ) -> list[tuple[Part, ServiceName]]:
        """Returns the parts that an attempt asks to be saved, and where."""
        names = {row.address: name for name, row in self._stores.traits.items()}
        return [
            (part, names[address])
            for part, address in zip(prompt.parts, to.save, strict=False)
            if address in names
        ]

    def _plans(
        self, prompt: Prompt, salt: str, weights: int, known: ProbeResults
    ) -> list[PartPlan]:
        """Returns what to do with each shared part; nothing if none may be."""
        if not self._stores.traits or not weights:
            return []
        may_save = weights >= self._newest(prompt.model)
        return [
            plan_part((salt, part.name), known.stored, may_save)
            for part in prompt.shared
        ]

    def _addresses(
        self, prompt: Prompt, plans: list[PartPlan]
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Returns where to fetch and where to save each part."""
        if not plans:
            return (), ()
        own = ("",) * (len(prompt.parts) - len(plans))
        fetch = tuple(self._address(plan.fetch) for plan in plans)
        save = tuple(self._address(plan.save) for plan in plans)
        return fetch + own, save + own

    def _address(self, store: ServiceName | None) -> str:
        traits = self._stores.traits.get(store) if store else None
        return traits.address if traits else ""


def _sources(
    prompt: Prompt, held: int, plans: list[PartPlan]
) -> tuple[str, ...]:
    """Returns what each shared part is expected to come from."""
    found = [FROM_ENGINE] * held
    found += [plan.fetch or plan.miss.value for plan in plans[held:]]
    missing = len(prompt.shared) - len(found)
    return (*found, *[MissReason.NOT_WRITABLE.value] * missing)
