"""The gateway's state of one endpoint."""

import secrets
from collections.abc import Callable

import msgspec

from magnolialug.carrier.pool import Pool
from magnolialug.events import Event, emit, explain
from magnolialug.ids import EndpointId, EngineBuild
from magnolialug.owners.ledgers import EndpointFacts
from magnolialug.policy.coldstart import ColdStart
from magnolialug.policy.connectionshare import ConnectionShare
from magnolialug.policy.endpointnotice import (
    EndpointNotices,
    NoticeSource,
    ReceivedNotices,
)
from magnolialug.policy.engineload import EngineLoad
from magnolialug.policy.health import Health
from magnolialug.policy.limitnotice import LimitNotice
from magnolialug.policy.registeredendpoint import RegisteredEndpoint
from magnolialug.policy.restperiod import RestPeriod
from magnolialug.policy.sendlimit import SendLimit
from magnolialug.policy.sharedload import EndpointState, WorkShare
from magnolialug.policy.startreport import Evidence, ReportedEnd
from magnolialug.result import Code, Failure

__all__ = ["Peer"]

# Pause after a refusal. Loading weights takes 1.3 s, so an entry that does not
# know of it is refused by a loading engine about four times.
_REFUSED_PAUSE_S = 0.3
# Consecutive refusals of a plain endpoint that cause the pause. A full one
# refuses some requests and runs others; one that runs none looks idle, and
# would attract them all.
_PLAIN_REFUSALS = 3
# Maximum age of the reported load of other entries at a plain service, whose
# answers take a tenth of a second.
_SHARED_STATE_MAX_AGE_S = 0.2
_NOTICE_ID_BYTES = 4


class Peer:
    """An endpoint's connections, health and attempts in progress.

    Attributes:
      listed: its newest registry entry.
      running: attempts in progress from this process.
      gone: whether the registry dropped it, or another endpoint has its
        address.
      evacuated: whether its availability zone is evacuated.
      restarted_at: when its restart was detected, None if it has not restarted.
      closed_until: until when it is assumed to refuse new work, for example
        while its engine loads weights.
      last_contact_at: when the last byte arrived from it.
      unresponsive: whether it was silent for too long while it had work.
      unreachable: whether the last connection attempt failed.
      cold: limits its new work after a start.
      limit: the request rate that its answers name.
      leaving_source: from what this entry knows that it has said in an answer
        that it leaves, None if it has not.
      on_leaving: called when that becomes known.
      leaving_since: the earliest time at which it can have registered that it
        leaves, infinity if it has not.
      drain_s: how long it serves on after that.
      rest: the rest that it has asked this entry for.
      reported_end: whether other entries report that this start has ended.
      connections: this entry's share of its connections.
      load: the estimated load of its engine, None for a plain service.
    """

    def __init__(
        self,
        listed: RegisteredEndpoint,
        pool: Pool,
        load: EngineLoad | None,
        cold: ColdStart,
    ):
        self.cold = cold
        self.limit = SendLimit()
        self.rest = RestPeriod()
        self.connections = ConnectionShare()
        self.unreachable = False
        self.reported_end = ReportedEnd()
        self.listed = listed
        self.pool = pool
        self.load = load
        self.health = Health()
        self.running = 0
        self.gone = False
        self.evacuated = False
        self.restarted_at: float | None = None
        self.closed_until = 0.0
        self.last_contact_at = float("-inf")
        self.unresponsive = False
        self.leaving_source: NoticeSource | None = None
        self.leaving_since = float("inf")
        self.drain_s = float("inf")
        self.on_leaving: Callable[[NoticeSource], None] = lambda source: None
        self._running_elsewhere = 0
        self._shared_state_at = float("-inf")
        self._weights: dict[str, int] = dict(listed.weights)
        self._excluded: dict[str, int] = {}
        self._refused: dict[str, str] = {}
        self._refusals = 0
        self._refutes_report = False

    @property
    def start_id(self) -> EndpointId:
        """The id of this start, distinct also if a restart keeps the id."""
        born = f"/{self.listed.born_ms}" if self.listed.born_ms else ""
        return EndpointId(f"{self.listed.endpoint}{born}")

    def is_other_start(self, born_ms: int) -> bool:
        """Whether a start is known to differ from this one."""
        return bool(born_ms and self.listed.born_ms) and (
            born_ms != self.listed.born_ms
        )

    @property
    def leaving(self) -> bool:
        """Whether it is shutting down or has ended."""
        return self.gone or self.has_said_leaving

    @property
    def has_said_leaving(self) -> bool:
        """Whether it has said that it is shutting down."""
        return self.listed.leaving or self.leaving_source is not None

    def may_have_stopped(self, sent_at: float, now: float) -> bool:
        """Whether a leaving endpoint may exit during a request.

        It serves for a while after it has said that it leaves, and finishes
        what it got before.

        Args:
          sent_at: when the request was sent.
        """
        since = self.leaving_since
        return sent_at > since and now >= since + self.drain_s

    @property
    def accepts_work(self) -> bool:
        """Whether it may get new work, now or when it is no longer cold."""
        return not self.leaving and not self.evacuated

    def may_send(self, now: float) -> bool:
        """Whether it may get new work now."""
        return (
            self.accepts_work
            and self.cold.may_send(now)
            and self.limit.may_send(now)
            and self.rest.may_send(now)
        )

    def send_wait_s(self, now: float) -> float:
        """Returns the time until it may get new work."""
        return max(
            self.cold.wait_s(now),
            self.limit.wait_s(now),
            self.rest.wait_s(now),
        )

    def record_sent(self, now: float) -> None:
        """Records a request that is sent to it."""
        self.running += 1
        self.cold.sent(now)
        self.limit.record_sent(now)
        self.rest.record_sent(now)
        if self.health.streak:
            self.health.probing = True

    def state(self, now: float) -> str:
        """Returns its last known state as a label."""
        if self.leaving:
            return "leaving"
        if self.evacuated:
            return "evacuated"
        if self.rest.is_resting(now):
            return "resting"
        if now < self.closed_until:
            return "closed"
        if self.cold.is_cold(now):
            return "cold"
        if self.limit.rate is not None:
            return "limited"
        return "up" if self.sound(now) else "suspected"

    def sound(self, now: float) -> bool:
        """Whether it is open, responsive and healthy."""
        closed = now < self.closed_until or self.reported_end.holds(now)
        return not closed and not self.unresponsive and self.health.usable(now)

    def record_contact(self, now: float) -> None:
        """Records that bytes arrived from it."""
        self.last_contact_at = now
        if self.unresponsive or self.unreachable:
            self.presume_cold(now)
        self.unreachable = False
        if self.reported_end.record_alive(now):
            self._refutes_report = True
        if self.unresponsive:
            self.unresponsive = False
            emit(Event.ENDPOINT_BACK, endpoint=self.listed.endpoint)

    def record_reported_end(
        self, evidence: Evidence, seen_at: float, now: float
    ) -> bool:
        """Records that another entry has found this start to have ended.

        An entry with requests in progress there learns it from them.

        Returns:
          whether that changes anything.
        """
        if (
            self.gone
            or self.running
            or not self.reported_end.record(evidence, seen_at, now)
        ):
            return False
        if evidence is Evidence.REFUSED:
            self.unreachable = True
            self.health.suspect()
        return True

    def presume_cold(self, now: float) -> None:
        """Treats it as cold, because it may have just restarted."""
        if self.cold.assume_started(now):
            self._log_cold(self.cold.length_s)

    def mark_cold(self, now: float) -> None:
        """Marks it as cold after it, or its availability zone, came back."""
        if self.cold.start(now):
            self._log_cold(self.cold.length_s)

    def _log_cold(self, left_s: float) -> None:
        emit(
            Event.ENDPOINT_COLD,
            endpoint=self.listed.endpoint,
            left_s=round(left_s, 3),
            interval_s=round(self.cold.interval_s, 3),
        )

    def record_notices(self, received: ReceivedNotices) -> None:
        """Applies what an answer to this entry says of the endpoint."""
        notices = received.notices
        if notices.executed and self._refutes_report:
            emit(Event.START_ANSWERS, endpoint=self.listed.endpoint)
            self._refutes_report = False
        for said in (notices.send_limit, notices.leaving, notices.rest_s):
            if isinstance(said, Failure):
                self._refuse_notice(said)
        if self._says_limit(notices):
            notice = LimitNotice(
                secrets.token_hex(_NOTICE_ID_BYTES),
                notices.send_limit,
                received.asked_at,
                received.seen_at,
            )
            self.record_limit(notice, "answer", received.seen_at)
        if notices.leaving is True:
            self.record_leaving(NoticeSource.ANSWER)
        if isinstance(notices.rest_s, float):
            self._record_rest(notices.rest_s, received.seen_at)
        elif notices.executed:
            self._refusals = 0
            self.rest.record_accepted(received.asked_at)

    def record_leaving(self, source: NoticeSource) -> None:
        """Gives it no more work, because it has said that it leaves.

        Nothing undoes this: an endpoint that leaves does not stay, and a
        registration that says otherwise is older. Its running work goes on.
        """
        if self.leaving_source is not None:
            return
        self.leaving_source = source
        self.pool.limit = 0
        self.pool.close()
        emit(
            Event.ENDPOINT_LEAVING,
            endpoint=self.listed.endpoint,
            source=source.value,
            running=self.running,
        )
        self.on_leaving(source)

    def _says_limit(self, notices: EndpointNotices) -> bool:
        """Whether notices name a limit, or end the one that holds."""
        if notices.send_limit is None:
            return notices.executed and self.limit.rate is not None
        return not isinstance(notices.send_limit, Failure)

    def record_limit(
        self, notice: LimitNotice, source: str, now: float
    ) -> None:
        """Records what an answer says about the requests that it accepts.

        Args:
          source: who received the answer: "answer" for this entry, "entry" for
            another one.
        """
        before = self.limit.rate
        if not self.limit.record(notice, now):
            return
        rate = self.limit.rate
        emit(
            Event.ENDPOINT_UNLIMITED
            if rate is None
            else Event.ENDPOINT_LIMITED,
            endpoint=self.listed.endpoint,
            per_s=rate,
            before_per_s=before,
            source=source,
            age_s=round(now - notice.seen_at, 3),
        )

    def _refuse_notice(self, failure: Failure) -> None:
        """Logs a malformed notice, once for each value.

        The last well-formed one stays in force.
        """
        if self._refused.get(failure.field) == failure.value:
            return
        self._refused[failure.field] = failure.value
        emit(
            Event.SEND_LIMIT_REFUSED
            if failure.code is Code.BAD_SEND_LIMIT
            else Event.NOTICE_REFUSED,
            endpoint=self.listed.endpoint,
            field=failure.field,
            value=failure.value,
            **explain(failure),
        )

    def _record_rest(self, rest_s: float, now: float) -> None:
        """Records that it wants no requests from this entry for some time."""
        if self.rest.record(rest_s, now):
            emit(
                Event.ENDPOINT_RESTING,
                endpoint=self.listed.endpoint,
                rest_s=round(self.rest.until - now, 3),
                asked_s=rest_s,
            )

    def log_end_of_rest(self, now: float) -> None:
        """Logs that its rest has ended, once for each rest."""
        if self.rest.take_end(now):
            emit(Event.ENDPOINT_RESTED, endpoint=self.listed.endpoint)

    def apply_shared_state(self, state: EndpointState, now: float) -> None:
        """Applies its state as reported by its owner, for all entries."""
        self.connections.record_others(
            self.pool.connection_count, state.connections, now
        )
        self.apply_connection_limit(now)
        self._running_elsewhere = state.running
        self._shared_state_at = now
        for model, version in state.weights.items():
            self.record_weights(model, version)
        for model, version in state.min_weights.items():
            self.exclude_weights(model, version - 1)
        cold_s = state.cold_ms / 1000
        if cold_s > 0 and self.cold.assume_cold(now, cold_s):
            self._log_cold(cold_s)
        if self.load is not None:
            self.load.record_others(state, now)
            if not self.is_other_start(state.born_ms):
                self.load.record_pace(state.pace, now)
        if state.leaving and not self.is_other_start(state.born_ms):
            self.record_leaving(NoticeSource.ENTRY)
        notice = state.notice
        if notice is not None:
            self.record_limit(notice.to_notice(now), "entry", now)
        if notice is not None and notice.rate is not None:
            self.limit.grant(state.send_wait_ms / 1000, now)
        else:
            self.limit.fall_back(now)

    def apply_connection_limit(self, now: float) -> None:
        """Bounds the pool by what this entry may use now."""
        limit = self.connections.limit(now)
        self.pool.limit = 0 if self.leaving else limit

    def may_connect(self, now: float) -> bool:
        """Whether a connection is left, or may be after asking its owner."""
        return self.pool.has_capacity or self.connections.may_ask(now)

    def total_running(self, now: float) -> int:
        """Returns the requests in progress there, from all entries."""
        is_recent = now - self._shared_state_at <= _SHARED_STATE_MAX_AGE_S
        return self.running + (self._running_elsewhere if is_recent else 0)

    def facts(self, now: float) -> EndpointFacts:
        """Returns the facts for the owner of its ledger."""
        load = self.load
        return EndpointFacts(
            memory=load.memory if load else 0,
            rate=load.rate if load else 0.0,
            open=self.accepts_work,
            sound=self.sound(now),
            born_ms=self.listed.born_ms,
            weights=self.all_weights(),
            cold_until=self.cold.confirmed_until,
            leaving=self.leaving_source is not None,
        )

    def share(self, now: float) -> WorkShare:
        """Returns this entry's work there, as reported to its owner."""
        listed = self.listed
        cold_ms = round(max(0.0, self.cold.confirmed_until - now) * 1000)
        if self.load is not None:
            share = self.load.share(
                listed.endpoint,
                self.last_contact_at,
                now,
                listed.born_ms,
                self.all_weights(),
                self._unknown_weights(),
                cold_ms,
            )
        else:
            share = WorkShare(
                listed.endpoint,
                (),
                0,
                self.running,
                born_ms=listed.born_ms,
                cold_ms=cold_ms,
            )
        connections = self.pool.connection_count
        notice = self.limit.known.report(now)
        if notice is None:
            return msgspec.structs.replace(share, connections=connections)
        return msgspec.structs.replace(
            share,
            connections=connections,
            notice=notice,
            sent=self.limit.sent,
            recently_sent=self.limit.recently_sent(now),
        )

    def serves(self, model: str) -> bool:
        """Whether it has some version of a model."""
        return model in self._weights

    def weights(self, model: str) -> int:
        """Returns its version of a model, 0 if not known."""
        version = self._weights.get(model, 0)
        return version if version > self._excluded.get(model, 0) else 0

    def build(self, model: str) -> EngineBuild:
        """Returns its software version and its version of a model."""
        return EngineBuild(f"{self.listed.software}/{self.weights(model)}")

    def all_weights(self) -> dict[str, int]:
        """Returns its newest known version of each model."""
        return dict(self._weights)

    def min_weights(self, model: str) -> int:
        """Returns the lowest version of a model that it can have."""
        excluded = self._excluded.get(model)
        version = self._weights.get(model, 0)
        return version if excluded is None else max(version, excluded + 1)

    def _unknown_weights(self) -> dict[str, int]:
        """Returns the lowest possible version of models of unknown version."""
        return {
            model: version + 1
            for model, version in self._excluded.items()
            if version >= self._weights.get(model, 0)
        }

    def record_weights(self, model: str, version: int) -> None:
        """Records a version of a model that it has."""
        if version > self._weights.get(model, 0):
            self._weights[model] = version
            self.closed_until = 0.0

    def exclude_weights(self, model: str, version: int) -> None:
        """Records that it has a newer version of a model than this one.

        An entry that is cut off from the registry would keep requiring the old
        version, and every request would be refused. Until an answer names the
        new version, requests accept any.
        """
        self._excluded[model] = max(version, self._excluded.get(model, 0))

    def record_refusal(self, now: float) -> None:
        """Records that it refused new work.

        The queue of an engine is full, or it is loading weights. Either is
        temporary, and requests sent meanwhile would be refused too.
        """
        self.rest.record_refusal(_REFUSED_PAUSE_S, now)
        self._refusals += 1
        if self.load is not None or self._refusals >= _PLAIN_REFUSALS:
            self.closed_until = max(self.closed_until, now + _REFUSED_PAUSE_S)

    def update_listing(self, listed: RegisteredEndpoint, now: float) -> None:
        """Applies a newer registry entry of the same start."""
        if listed.cold_s > 0 and self.cold.record_cold(now, listed.cold_s):
            self._log_cold(listed.cold_s)
        born_ms = listed.born_ms or self.listed.born_ms
        self.listed = msgspec.structs.replace(listed, born_ms=born_ms)
        self.reported_end.record_alive(now)
        for model, version in listed.weights.items():
            self.record_weights(model, version)
