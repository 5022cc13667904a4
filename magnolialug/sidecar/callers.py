"""What entries ask of attempts that were dispatched before."""

from typing import TYPE_CHECKING

from magnolialug.attempt import Attempt, AttemptState
from magnolialug.events import Event, emit
from magnolialug.result import Code
from magnolialug.wire import messages as msg
from magnolialug.wire.link import Link

if TYPE_CHECKING:
    from magnolialug.sidecar.app import SidecarApp

__all__ = ["ack", "cancel", "find", "reattach", "resume"]


def resume(app: "SidecarApp", link: Link, resume: msg.Resume) -> None:
    """Goes on with an answer, or seals an attempt never seen."""
    attempt = resume.attempt
    state = app.gate.query(attempt, resume.seal, app.clock.seconds())
    if state is AttemptState.SEALED:
        record = app.gate.find(attempt)
        emit(Event.ATTEMPT_SEALED, request=attempt.request_id)
        app.send_refusal(link, attempt, record.failure)
        return
    reattach(app, link, attempt, state, resume.after_seq, resume.seal)


def find(app: "SidecarApp", link: Link, find: msg.Find) -> None:
    """Looks an answer up by its request id alone."""
    attempt = app.answers.latest(find.team, find.request_id)
    if attempt is None:
        nothing = Attempt(find.team, find.request_id, 0, "", 0.0)
        reattach(app, link, nothing, AttemptState.FORGOTTEN, 0)
        return
    state = app.gate.query(attempt, False, app.clock.seconds())
    reattach(app, link, attempt, state, find.after_seq)


def reattach(
    app: "SidecarApp",
    link: Link,
    attempt: Attempt,
    state: AttemptState,
    after: int,
    sealing: bool = True,
) -> None:
    """Sends a kept answer from a piece on, or what became of it."""
    answer = app.answers.get(attempt)
    if answer is not None and answer.base <= after:
        emit(Event.RESUMED, request=attempt.request_id, after=after)
        app.answers.attach(answer, link, after)
        return
    code = Code.ANSWER_GONE
    if state is AttemptState.FORGOTTEN:
        code = Code.OUTCOME_UNKNOWN
    link.send(msg.Outcome(attempt, state, code.value, state.value, sealing))


def ack(app: "SidecarApp", link: Link, ack: msg.Ack) -> None:
    """Takes an entry's word on what its caller has."""
    answer = app.answers.get(ack.attempt)
    if answer:
        answer.ack(link, ack.seq)


def cancel(app: "SidecarApp", link: Link, cancel: msg.Cancel) -> None:
    """Stops a run that nobody wants any more."""
    answer = app.answers.get(cancel.attempt)
    if answer is None:
        return
    answer.detach(link)
    if not answer.wanted:
        app.abandon(cancel.attempt)
