"""Places a call as an attempt does, and ends before anything is sent."""

from collections.abc import Callable, Iterable

from magnolialug.entry.candidateprober import CandidateProber
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.gatewaycall import CallContext
from magnolialug.entry.httpattemptrunner import HttpAttemptRunner
from magnolialug.entry.placer import Placed
from magnolialug.entry.proberesults import ProbeResults
from magnolialug.entry.progress import Progress
from magnolialug.events import Event
from magnolialug.fairness.standings import PromptFlows
from magnolialug.ids import EndpointId
from magnolialug.owners.admissionclient import AdmissionRequest
from magnolialug.policy.admissionlead import AdmissionLead
from magnolialug.policy.admissionorder import WaitingPrompt
from magnolialug.result import Code, Failure, failed

__all__ = [
    "PreviewRunner",
    "RecordedAdmission",
    "RecordingProber",
    "SilentLog",
]


class SilentLog:
    """Writes no line: nothing is placed."""

    def emit(self, event: Event, **fields: object) -> None:
        """Drops a line."""

    def failed(self) -> None:
        """Has kept nothing back."""


class RecordedAdmission:
    """Notes which queues a prompt would enter, and enters none.

    Attributes:
      requests: one for each queue, None if the prompt need not wait.
      queued_work_s: the most prefill ahead of it where it is admitted.
    """

    def __init__(self) -> None:
        self.requests: tuple[AdmissionRequest, ...] | None = None
        self.queued_work_s: float | None = None

    async def enqueue(
        self,
        waiting: WaitingPrompt,
        requests: Iterable[AdmissionRequest],
        ahead_s: float,
        refusal: Callable[[], Failure | None],
        flows: PromptFlows | None,
        on_lead: Callable[[AdmissionLead], None],
    ) -> EndpointId | Failure:
        """Ends the placement in place of the wait."""
        self.requests = tuple(requests)
        self.queued_work_s = ahead_s
        return failed(Code.NO_ROOM)


class RecordingProber(CandidateProber):
    """Keeps the results of the newest probe.

    Attributes:
      results: None before the first probe.
    """

    results: ProbeResults | None = None

    async def probe(
        self, call: ForwardCall, avoid: set[EndpointId]
    ) -> ProbeResults:
        """Returns the candidates and the reports of their owners."""
        self.results = await super().probe(call, avoid)
        return self.results


class PreviewRunner(HttpAttemptRunner):
    """Decides on a first attempt.

    Args:
      context: its placer, prober and admission serve this preview alone.
      avoid: endpoints that are left out.
    """

    def __init__(
        self,
        context: CallContext,
        call: ForwardCall,
        avoid: Iterable[EndpointId],
    ):
        super().__init__(
            context.placer,
            context.prober,
            context.admission,
            context.quarantine,
            context.origins,
            set(),
            context.clock,
            call,
            None,
            SilentLog(),
            context.metrics,
            context.serving.budget,
        )
        self._avoid = set(avoid)

    async def place(self) -> Placed | Failure:
        """Returns where the attempt would go, or why nowhere now."""
        return await self._place(Progress())
