"""Where requests' time went and what was read again, from JSON log lines."""

import enum
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from magnolialug.ctl.answertimes import (
    RouteTimes,
    answer_times,
    answer_times_tables,
)
from magnolialug.ctl.placementwaits import (
    RouteWaits,
    placement_waits,
    placement_waits_table,
)
from magnolialug.ctl.readbeside import (
    BesidePauses,
    pauses_beside,
    pauses_beside_table,
)
from magnolialug.ctl.records import read_records, time_of
from magnolialug.ctl.textrow import text_row
from magnolialug.policy.partplan import MissReason

__all__ = ["Account", "Ending", "Reread", "account", "as_tables"]

# A part that was sent to be read this long ago is expected to be whole: long
# prompts wait, are read and saved within it in all but the busiest seconds.
_READ_WITHIN_S = 2.0
# A call whose endpoint had said nothing for this long was waiting for one
# that is dead or cut off.
_SILENT_S = 0.8
# A caller that leaves this close to its deadline has waited for all of it.
_DEADLINE_S = 0.15
_MISSES = frozenset(miss.value for miss in MissReason)


class Ending(enum.Enum):
    """How a call ended, as its caller saw it."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    OUT_OF_TIME = "out of time"
    LEFT = "left early"


class Reread(enum.Enum):
    """Why a shared part was read again that some engine had read before.

    UNDER_WAY: it was sent to be read less than two seconds before.
    LOST: it was read and to be saved, and no store is known to have it.
    RESTARTED: the stores that had it have started again since.
    UNSAVED: no store was asked to keep it, for want of room or trust.
    UNHEARD: a store has it, whose word is too old.
    REPLACED: it is of weights that are being replaced.
    BEHIND: it was kept, but not the part of the prompt before it.
    """

    UNDER_WAY = "under way"
    LOST = "not whole, or its news lost"
    RESTARTED = "store restarted"
    UNSAVED = "never stored"
    NO_CONTACT = "store unheard"
    REPLACED = "other version"
    BEHIND = "behind a missing part"


class _Sent(msgspec.Struct):
    """When a part was last sent to be read, and what was to become of it."""

    at: float
    source: str


class _Call(msgspec.Struct):
    """One request, as its lines tell of it.

    Attributes:
      placed: when each of its attempts was placed.
    """

    route: str = ""
    ending: Ending | None = None
    ended_at: float = 0.0
    took_s: float = 0.0
    first_s: float = 0.0
    silent_s: float = 0.0
    phase: str = ""
    placed: list[float] = []


class Account(msgspec.Struct):
    """What the lines add up to.

    Attributes:
      endings: calls by route and ending.
      seconds: calls by the second in which they ended, and ending.
      spent: seconds of calls by route and what they were spent on.
      cut_in: calls out of time or failed, by route and what they waited for.
      rereads: tokens of shared parts read again, by reason.
      reread_seconds: the same by second, all reasons.
      first_reads: tokens of shared parts read for the first time.
      kept: tokens of shared parts that were expected to be found.
      times: what made whole answers late, by route.
      waits: waits before placement, by route.
      beside: pauses by route and by what was read beside the answers.
    """

    endings: Counter[tuple[str, Ending]] = msgspec.field(
        default_factory=Counter
    )
    seconds: Counter[tuple[int, Ending]] = msgspec.field(
        default_factory=Counter
    )
    spent: Counter[tuple[str, str]] = msgspec.field(default_factory=Counter)
    cut_in: Counter[tuple[str, str]] = msgspec.field(default_factory=Counter)
    rereads: Counter[Reread] = msgspec.field(default_factory=Counter)
    reread_seconds: Counter[int] = msgspec.field(default_factory=Counter)
    first_reads: int = 0
    kept: int = 0
    times: dict[str, RouteTimes] = {}
    waits: dict[str, RouteWaits] = {}
    beside: dict[tuple[str, str], BesidePauses] = {}


def account(lines: Iterable[str]) -> Account:
    """Adds up the lines of all gateways of some time."""
    records = sorted(read_records(lines), key=time_of)
    found = Account()
    start = time_of(records[0]) if records else 0.0
    _Parts(found, start).read(records)
    for call in _calls(records):
        _count(found, call, start)
    found.times = answer_times(records)
    found.waits = placement_waits(records)
    found.beside = pauses_beside(records)
    return found


def _calls(records: Sequence[dict]) -> list[_Call]:
    calls: dict[str, _Call] = defaultdict(_Call)
    for record in records:
        request = record.get("request")
        take = _TAKES.get(record.get("name"))
        if request and take is not None:
            take(calls[request], record)
    return [call for call in calls.values() if call.ending is not None]


def _placed(call: _Call, record: dict) -> None:
    call.route = record.get("route", "")
    call.placed.append(time_of(record))


def _done(call: _Call, record: dict) -> None:
    good = 200 <= record.get("status", 0) < 300
    ending = Ending.IN_TIME if record.get("in_time") else Ending.LATE
    call.ending = ending if good else Ending.FAILED
    call.first_s = record.get("first_s", 0.0)
    _close(call, record)


def _failed(call: _Call, record: dict) -> None:
    refused = record.get("executed") == "no"
    call.ending = Ending.REFUSED if refused else Ending.FAILED
    if record.get("code_name") == "TIMED_OUT":
        call.ending = Ending.OUT_OF_TIME
    _close(call, record)


def _left(call: _Call, record: dict) -> None:
    waited = record.get("left_s", 1.0) <= _DEADLINE_S
    call.ending = Ending.OUT_OF_TIME if waited else Ending.LEFT
    _close(call, record)


def _close(call: _Call, record: dict) -> None:
    call.route = record.get("route", call.route)
    call.ended_at = time_of(record)
    call.took_s = record.get("took_s", 0.0)
    call.phase = record.get("phase", "")
    call.silent_s = record.get("silent_s", 0.0)


_TAKES = {
    "PLACED": _placed,
    "REQUEST_DONE": _done,
    "REQUEST_FAILED": _failed,
    "CANCELLED": _left,
}


def _count(found: Account, call: _Call, start: float) -> None:
    found.endings[call.route, call.ending] += 1
    found.seconds[int(call.ended_at - start), call.ending] += 1
    retry_s = call.placed[-1] - call.placed[0] if call.placed else 0.0
    silent_s = call.silent_s if call.silent_s > _SILENT_S else 0.0
    first_s = call.first_s or (call.took_s - silent_s)
    if call.phase == "writing":
        first_s = 0.0
    reading_s = max(0.0, first_s - retry_s)
    writing_s = max(0.0, call.took_s - reading_s - retry_s - silent_s)
    for name, seconds in (
        ("retry", retry_s),
        ("queue and reading", reading_s),
        ("writing", writing_s),
        ("silent endpoint", silent_s),
    ):
        found.spent[call.route, name] += seconds
    if call.ending in (Ending.OUT_OF_TIME, Ending.FAILED):
        waited = "silent endpoint" if silent_s else call.phase or "plain"
        found.cut_in[call.route, waited] += 1


class _Parts:
    """Tells parts that are read for the first time from those read again."""

    def __init__(self, found: Account, start: float):
        self._found = found
        self._start = start
        self._sent: dict[tuple[str, str], _Sent] = {}
        self._restarts: list[float] = []
        self._epochs: dict[str, int] = {}

    def read(self, records: Iterable[dict]) -> None:
        """Goes through all lines in the order of their times."""
        for record in records:
            if record.get("name") == "PLACED":
                self._placed(record)
            elif record.get("name") == "STORE_HEARD":
                self._heard(record)

    def _heard(self, record: dict) -> None:
        store, epoch = record.get("store", ""), record.get("epoch", 0)
        if self._epochs.setdefault(store, epoch) != epoch:
            self._epochs[store] = epoch
            self._restarts.append(time_of(record))

    def _placed(self, record: dict) -> None:
        at = time_of(record)
        found_all = True
        for name, tokens, source in record.get("parts", ()):
            key = (record.get("salt", ""), name)
            found_all = found_all and source not in _MISSES
            if found_all:
                self._found.kept += tokens
                continue
            self._read(key, tokens, source, at)
        for name, _, source in record.get("parts", ()):
            key = (record.get("salt", ""), name)
            if source in _MISSES:
                self._sent[key] = _Sent(at, source)

    def _read(
        self, key: tuple[str, str], tokens: int, source: str, at: float
    ) -> None:
        before = self._sent.get(key)
        if before is None and source in _MISSES:
            self._found.first_reads += tokens
            return
        self._found.rereads[self._why(before, source, at)] += tokens
        self._found.reread_seconds[int(at - self._start)] += tokens

    def _why(self, before: _Sent | None, source: str, at: float) -> Reread:
        if source not in _MISSES:
            return Reread.BEHIND
        if source == MissReason.NO_CONTACT.value:
            return Reread.NO_CONTACT
        if source == MissReason.REPLACED.value:
            return Reread.REPLACED
        if before is None or at - before.at < _READ_WITHIN_S:
            return Reread.UNDER_WAY
        if any(before.at < restart < at for restart in self._restarts):
            return Reread.RESTARTED
        if before.source in (
            MissReason.NO_ROOM.value,
            MissReason.NOT_WRITABLE.value,
        ):
            return Reread.UNSAVED
        return Reread.LOST


def as_tables(found: Account) -> str:
    """Returns an account as text."""
    tables = (
        _endings(found),
        answer_times_tables(found.times),
        pauses_beside_table(found.beside),
        placement_waits_table(found.waits),
        _times(found),
        _cuts(found),
        _rereads(found),
        _seconds(found),
    )
    return "\n\n".join("\n".join(rows) for rows in tables)


def _routes(found: Account) -> list[str]:
    return sorted({route for route, _ in found.endings})


def _endings(found: Account) -> list[str]:
    rows = [text_row("calls by route", [ending.value for ending in Ending])]
    for route in _routes(found):
        counts = [found.endings[route, ending] for ending in Ending]
        rows.append(text_row(route or "(none)", counts))
    return rows


def _times(found: Account) -> list[str]:
    names = ("queue and reading", "writing", "silent endpoint", "retry")
    heads = ("to 1st event", "writing", "silent", "retry")
    rows = [text_row("seconds a call", heads)]
    for route in _routes(found):
        calls = sum(found.endings[route, ending] for ending in Ending)
        means = [f"{found.spent[route, name] / calls:.3f}" for name in names]
        rows.append(text_row(route or "(none)", means))
    return rows


def _cuts(found: Account) -> list[str]:
    phases = ("reading", "writing", "silent endpoint", "unplaced", "plain")
    rows = [text_row("failed while", phases)]
    for route in _routes(found):
        counts = [found.cut_in[route, phase] for phase in phases]
        rows.append(text_row(route or "(none)", counts))
    return rows


def _rereads(found: Account) -> list[str]:
    rows = [
        text_row("shared tokens", ["count"]),
        text_row("expected found", [found.kept]),
        text_row("read first", [found.first_reads]),
    ]
    for reason in Reread:
        name = f"again: {reason.value}"
        rows.append(f"{name:<32}{found.rereads[reason]:>6}")
    return rows


def _seconds(found: Account) -> list[str]:
    heads = [*(ending.value for ending in Ending), "read again"]
    rows = [text_row("ended in second", heads)]
    times = {second for second, _ in found.seconds} | set(found.reread_seconds)
    for second in range(min(times, default=0), max(times, default=-1) + 1):
        counts = [found.seconds[second, ending] for ending in Ending]
        counts.append(found.reread_seconds[second])
        rows.append(text_row(str(second), counts))
    return rows
