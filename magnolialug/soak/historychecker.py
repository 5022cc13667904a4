"""What callers sent, what endpoints ran, and which promises that broke."""

import enum
import re
from bisect import bisect_left
from collections import Counter, defaultdict

import msgspec

from magnolialug.standin.caller import Answer

__all__ = ["Form", "HistoryChecker", "Sent", "Violation", "event_ids"]

# Refusals with these statuses say that the request has not run.
_NOT_RUN = frozenset({408, 421, 429, 503})
_DENIALS = frozenset({400, 401, 403, 404, 413, 431})
_NO_ROUTE = 404
_LINE_END = rb"(?>\r\n|\r|\n)"
_EVENT = re.compile(
    rb"id: (\d+)" + _LINE_END + rb"data: ([^\r\n]*)" + _LINE_END * 2
)
_RETRY_WINDOW_S = 10.0
_RETRY_RATIO = 0.2
_RETRY_EXTRA = 54
# A deadline that is handed on may end this much after the caller's own.
_DEADLINE_SLACK_S = 0.5
_LONGER_S = 2.0


def event_ids(body: bytes) -> list[int]:
    """Returns the ids of the whole events in the body of a stream."""
    return [int(number) for number, _ in _EVENT.findall(body)]


class Form(enum.Enum):
    """What may happen to a request."""

    READ = "read"
    BOOK = "book"
    DRAFT = "draft"
    CHECK = "check"
    LONG = "long"
    PROBE = "probe"

    @property
    def once(self) -> bool:
        """Whether it may run at most once."""
        return self in (Form.BOOK, Form.DRAFT)

    @property
    def streams(self) -> bool:
        """Whether its answer is a series of events."""
        return self in (Form.DRAFT, Form.CHECK, Form.LONG)

    @property
    def service(self) -> str:
        """The service that runs it."""
        return "llm" if self.streams else "desk"


class Violation(msgspec.Struct, frozen=True):
    """One broken promise.

    Attributes:
      at: seconds since the run began.
    """

    promise: str
    at: float
    request: str
    detail: str


class Sent(msgspec.Struct):
    """One request as its caller sent it.

    Attributes:
      machine: the name of the machine that took it.
      at: when its last byte was sent.
      deadline_s: how long its caller waits.
      idle_since: since when its connection had been idle.
      left_at: when its caller left, None while it waits.
      arrivals: when and where it reached endpoints.
      first_event_at: when its caller had the first whole event, if any.
      status: of the answer, 0 for none.
      told_not_run: whether the answer says that it has not run.
      removed: whether its route had been removed before it was sent.
      resumes: the request that brought the first event of the stream that it
        takes up, "" for none.
      resume_after: the last event of that stream that its caller has.
    """

    request_id: str
    form: Form
    method: str
    target: str
    body: bytes
    team: str
    machine: str
    at: float
    deadline_s: float
    left_at: float | None = None
    arrivals: list[tuple[float, str]] = []
    status: int = 0
    told_not_run: bool = False
    removed: bool = False
    resumes: str = ""
    resume_after: int = 0
    idle_since: float = 0.0
    first_event_at: float | None = None

    @property
    def is_served(self) -> bool:
        """Whether it has an answer of an endpoint that should give one."""
        return 200 <= self.status < 300 and not self.removed

    @property
    def is_rightly_denied(self) -> bool:
        """Whether the answer says that its route is not there, as is true."""
        return self.status == _NO_ROUTE and self.removed


class HistoryChecker:
    """Compares what all sides have seen.

    Args:
      clock: returns seconds.
      events: how many events a whole stream has.
    """

    def __init__(self, clock, events: int):
        self.violations: list[Violation] = []
        self.sent: dict[str, Sent] = {}
        self.ran: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self._events = events
        self._versions: dict[str, set[str]] = defaultdict(set)
        self._clock = clock
        self._begun = clock()

    def broken(self, promise: str, detail: str, request: str = "") -> None:
        """Notes a broken promise."""
        at = round(self._clock() - self._begun, 3)
        self.violations.append(Violation(promise, at, request, detail))

    def add(self, row: Sent) -> None:
        """Notes a request that is sent now."""
        self.sent[row.request_id] = row

    def arrived(self, instance: str, service: str, req, touched: bool) -> None:
        """Checks a request that has reached an endpoint.

        Args:
          touched: whether all on its way has been calm, so that times count.
        """
        row = self.sent.get(req.request_id)
        if row is None:
            self.broken("UNASKED", f"{instance} got {req.target}")
            return
        now = self._clock()
        row.arrivals = [*row.arrivals, (now, instance)]
        asked = (row.method, row.target, row.body, row.team)
        team = req.headers.get("x-tenant-id", "")
        if (req.method, req.target, req.body, team) != asked:
            self.broken("UNASKED", f"changed on its way: {req}", row.request_id)
        if "authorization" in req.headers:
            self.broken("UNASKED", "the key went on", row.request_id)
        # Another endpoint than was meant turns a request away unrun.
        meant = req.headers.get("x-expect-instance", instance) == instance
        if meant and service != row.form.service:
            self.broken("ROUTE", f"run by {service}", row.request_id)
        if touched:
            self._check_times(row, req, now)

    def _check_times(self, row: Sent, req, now: float) -> None:
        left_s = int(req.headers.get("x-request-deadline-ms", "0")) / 1000
        over = now + left_s - row.at - row.deadline_s
        if left_s <= 0 or over > _DEADLINE_SLACK_S:
            self.broken("BUDGET", f"handed on {left_s} s", row.request_id)
        gone = row.left_at is not None and now - row.left_at
        if gone and gone > _DEADLINE_SLACK_S:
            self.broken("GONE", f"{gone:.2f} s after it left", row.request_id)

    def answered(self, row: Sent, answer: Answer) -> None:
        """Checks an answer of which nothing more will come."""
        row.status = answer.status
        form = "resumed" if row.resumes else row.form.value
        self.outcomes[f"{form} {answer.status}"] += 1
        name = row.request_id
        took = self._clock() - row.at
        if took > row.deadline_s + _LONGER_S:
            self.outcomes["late"] += 1
        if answer.headers.get("x-request-id", name) != name:
            self.broken("MIXED", "the id of another request", name)
        if 200 <= answer.status < 300:
            self._check_success(row, answer)
        elif answer.status in _NOT_RUN and "x-response-stamp" not in (
            answer.headers
        ):
            row.told_not_run = True
            self._check_refusal(row)
        elif answer.status in _DENIALS and row.form is not Form.PROBE:
            self.broken("DENIED", f"status {answer.status}", name)

    def refused(self, row: Sent, status: int) -> None:
        """Notes the status of a request that no endpoint can answer."""
        row.status = status
        row.told_not_run = status in _NOT_RUN
        self.outcomes[f"poison {status}"] += 1

    def _check_success(self, row: Sent, answer: Answer) -> None:
        stamp = answer.headers.get("x-response-stamp", "")
        if not stamp:
            self.broken("MIXED", "a success without a mark", row.request_id)
        elif row.form.streams:
            self._check_stream(row, answer)
        elif answer.whole:
            instance = stamp.removeprefix("stamp.")
            body = f"{instance}|{row.request_id}|{row.target}".encode()
            if answer.body != body:
                self.broken("MIXED", f"got {answer.body!r}", row.request_id)

    def _check_stream(self, row: Sent, answer: Answer) -> None:
        events = _EVENT.findall(answer.body)
        numbers = event_ids(answer.body)
        name = row.request_id
        last = row.resume_after + len(numbers)
        if numbers != list(range(row.resume_after + 1, last + 1)):
            self.broken("ORDER", f"events {numbers}", name)
        if answer.whole and last != self._events:
            self.broken("ORDER", f"complete after {last}", name)
        sources = [data.decode().split("/") for _, data in events]
        if any(source[0] != name for source in sources):
            self.broken("MIXED", "events of another request", name)
        runs = {source[1] for source in sources}
        if len(runs) > 1 and row.form.once:
            self.broken("ORDER", f"pieces of runs {runs}", name)
        self._check_versions(row, {source[-1] for source in sources})

    def _check_versions(self, row: Sent, versions: set[str]) -> None:
        """Checks that a stream is of one version over all of its tries."""
        stream = self._versions[row.resumes or row.request_id]
        stream |= versions
        if len(stream) > 1 and versions:
            self.broken("ORDER", f"events of versions {stream}", row.request_id)

    def _check_refusal(self, row: Sent) -> None:
        if row.form.once and self.ran[row.request_id]:
            self.broken("REFUSED", f"{row.status}, has run", row.request_id)

    def finish(self) -> None:
        """Checks what only the whole run shows."""
        for row in self.sent.values():
            if not row.form.once:
                continue
            if self.ran[row.request_id] > 1:
                self.broken("TWICE", f"ran at {row.arrivals}", row.request_id)
            if row.told_not_run and self.ran[row.request_id]:
                self.broken("REFUSED", "ran after all", row.request_id)
        self._check_retries()

    def _check_retries(self) -> None:
        firsts: dict[str, list[float]] = defaultdict(list)
        again: dict[str, list[float]] = defaultdict(list)
        for row in self.sent.values():
            firsts[row.form.service].append(row.at)
            repeats = [at for at, _ in row.arrivals[1:]]
            again[row.form.service] += repeats
        for service, times in again.items():
            self._check_budget(service, sorted(firsts[service]), sorted(times))

    def _check_budget(
        self, service: str, firsts: list[float], again: list[float]
    ) -> None:
        for at in again:
            begin = at - _RETRY_WINDOW_S
            repeats = bisect_left(again, at) - bisect_left(again, begin) + 1
            asked = bisect_left(firsts, at) - bisect_left(firsts, begin)
            if repeats > _RETRY_RATIO * asked + _RETRY_EXTRA:
                self.broken("BUDGET", f"{repeats} repeats at {service}")
                return
