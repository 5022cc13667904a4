"""Builds the placement parameters that are sent to an endpoint."""

from collections.abc import Callable

from magnolialug.entry.costestimator import CostEstimator
from magnolialug.entry.dispatch import FROM_ENGINE, Dispatch
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.peer import Peer
from magnolialug.entry.proberesults import ProbeResults
from magnolialug.ids import ServiceName
from magnolialug.policy.fetchdeadline import fetch_deadline
from magnolialug.policy.partplan import MissReason, PartPlan, plan_part
from magnolialug.policy.prompt import Part, Prompt
from magnolialug.policy.storemap import StoreMap

__all__ = ["DispatchBuilder"]


class DispatchBuilder:
    """Plans where the parts of a prompt are fetched from and saved to.

    Args:
      costs: returns the parts that an engine itself has cached.
      stores: the stores of cached parts.
      newest_version: returns the newest known version of a model.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        costs: CostEstimator,
        stores: StoreMap,
        newest_version: Callable[[str], int],
        clock: Callable[[], float],
    ):
        self._costs = costs
        self._stores = stores
        self._newest_version = newest_version
        self._clock = clock

    def build(
        self,
        call: ForwardCall,
        peer: Peer,
        resume_after: int,
        results: ProbeResults,
    ) -> Dispatch:
        """Returns the parameters to send to an endpoint.

        Args:
          resume_after: the id of the last event that the caller received.
        """
        endpoint = peer.listed.endpoint
        if call.prompt is None:
            return Dispatch(endpoint, resume_after=resume_after)
        weights = peer.weights(call.prompt.model)
        cache_namespace = call.cache_namespace(weights)
        plans = self._plans(call.prompt, cache_namespace, weights, results)
        fetch, save = self._addresses(call.prompt, plans)
        held = self._costs.held_parts(call, peer, results)
        return Dispatch(
            endpoint=endpoint,
            cache_namespace=cache_namespace,
            weights=weights,
            priority=call.priority,
            resume_after=resume_after,
            fetch=fetch,
            save=save,
            fetch_until_ms=self._fetch_until_ms(call, peer, plans),
            sources=_sources(call.prompt, held, plans),
        )

    def planned_saves(
        self, prompt: Prompt, to: Dispatch
    ) -> list[tuple[Part, ServiceName]]:
        """Returns the parts that an attempt asks to save, with their stores."""
        names = {row.address: name for name, row in self._stores.traits.items()}
        return [
            (part, names[address])
            for part, address in zip(prompt.parts, to.save, strict=False)
            if address in names
        ]

    def _fetch_until_ms(
        self, call: ForwardCall, peer: Peer, plans: list[PartPlan]
    ) -> int:
        """Returns the deadline of the fetches, 0 without any.

        The stores bound it, so that no part is read while it is written
        again, and so does the time that reading the parts would take.
        """
        bounds = [plan.until_ms for plan in plans if plan.fetch]
        ahead_s = next(
            (
                plan.clock_ahead_s
                for plan in plans
                if plan.clock_ahead_s is not None
            ),
            None,
        )
        if bounds and ahead_s is not None and peer.load is not None:
            deadline = fetch_deadline(
                call.arrived + call.route.target_s,
                self._clock(),
                peer.load.ahead_s(call.priority),
                call.prompt.input_tokens / peer.load.rate,
            )
            bounds.append(int((deadline + ahead_s) * 1000))
        return min(bounds, default=0)

    def _plans(
        self,
        prompt: Prompt,
        cache_namespace: str,
        weights: int,
        results: ProbeResults,
    ) -> list[PartPlan]:
        """Returns a plan for each shared part.

        The list is empty if there are no stores, or if the version of the
        weights is not known.
        """
        if not self._stores.traits or not weights:
            return []
        may_save = weights >= self._newest_version(prompt.model)
        return [
            plan_part((cache_namespace, part.name), results.stored, may_save)
            for part in prompt.shared
        ]

    def _addresses(
        self, prompt: Prompt, plans: list[PartPlan]
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Returns the addresses to fetch and to save each part."""
        if not plans:
            return (), ()
        unshared = ("",) * (len(prompt.parts) - len(plans))
        fetch = tuple(self._address(plan.fetch) for plan in plans)
        save = tuple(self._address(plan.save) for plan in plans)
        return fetch + unshared, save + unshared

    def _address(self, store: ServiceName | None) -> str:
        traits = self._stores.traits.get(store) if store else None
        return traits.address if traits else ""


def _sources(
    prompt: Prompt, held: int, plans: list[PartPlan]
) -> tuple[str, ...]:
    """Returns the expected source of each shared part."""
    found = [FROM_ENGINE] * held
    found += [plan.fetch or plan.miss.value for plan in plans[held:]]
    missing = len(prompt.shared) - len(found)
    return (*found, *[MissReason.NOT_WRITABLE.value] * missing)
