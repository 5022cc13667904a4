"""A request under which endpoints end, and a caller that sends it again."""

from typing import TYPE_CHECKING

import msgspec

from magnolialug.carrier.client import Reply
from magnolialug.soak.historychecker import Form, Sent
from magnolialug.standin.caller import request

if TYPE_CHECKING:
    from magnolialug.soak.run import Soak

__all__ = ["MARK", "PoisonRecord", "send_again", "some_form"]

# What a body begins with that ends endpoints.
MARK = b"poison "
_FORMS = (Form.BOOK, Form.CHECK, Form.DRAFT)
_EVERY_S = (0.1, 0.5)
_DEADLINE_S = 3.0
_ENDED = 3
_TOLD_S = 3.0
# Requests that were on their way when their machine was told.
_SENT_AFTER = 3


class PoisonRecord(msgspec.Struct):
    """What one poison request has done.

    Attributes:
      ended: when endpoints ended under it.
      late: how often it was sent on long after the third end.
    """

    ended: list[float] = []
    late: int = 0

    @property
    def known_from(self) -> float:
        """When every machine in touch must know of it."""
        if len(self.ended) < _ENDED:
            return float("inf")
        return self.ended[_ENDED - 1] + _TOLD_S

    @property
    def too_late(self) -> bool:
        """Whether it was sent on more often than may be."""
        return self.late > _SENT_AFTER


def send_again(soak: "Soak", body: bytes, form: Form, until: float) -> None:
    """Sends a request to some machine under a new id, and again later."""
    if soak.now >= until:
        return
    front = soak.random.choice(soak.fronts)
    row = Sent(
        soak.new_id(),
        form,
        "POST",
        f"/{form.value}/poison",
        body,
        "team-a",
        front.machine.name,
        soak.now,
        _DEADLINE_S,
    )
    soak.history.add(row)
    data = request(row.target, row.request_id, "key-a", "POST", body)
    fut = soak.asker.ask(front.address, data, _DEADLINE_S)
    fut.addCallback(lambda reply: _answered(soak, row, reply))
    pause_s = soak.random.uniform(*_EVERY_S)
    soak.later(pause_s, send_again, soak, body, form, until)


def some_form(soak: "Soak") -> Form:
    """Returns the form of a poison request, by chance."""
    return soak.random.choice(_FORMS)


def _answered(soak: "Soak", row: Sent, reply) -> None:
    if isinstance(reply, Reply):
        soak.history.refused(row, reply.status)
