"""Requests and parts of prompts that crash endpoints, and who sends them."""

from typing import TYPE_CHECKING

import msgspec

from magnolialug.carrier.client import Reply
from magnolialug.soak.historychecker import Form, Sent
from magnolialug.standin.caller import request
from magnolialug.standin.endpoint import Received

if TYPE_CHECKING:
    from magnolialug.soak.run import Soak

__all__ = [
    "MARK",
    "PART_MARK",
    "PoisonRecord",
    "poison_of",
    "send_again",
    "send_part_again",
    "some_form",
    "some_prompt_form",
]

# What a body begins with that ends endpoints.
MARK = b"poison "
# What the name of a part begins with that crashes engines, unless it is last.
PART_MARK = "dead"
_FORMS = (Form.BOOK, Form.CHECK, Form.DRAFT)
_PROMPT_FORMS = (Form.CHECK, Form.DRAFT)
_PROMPTS = 6
_EVERY_S = (0.1, 0.5)
_DEADLINE_S = 3.0
_ENDED = 3
# Crashes under a part, after which machines must know of it.
_CRASHED_BY_PART = 5
_TOLD_S = 3.0
# Requests that were on their way when their machine was told.
_SENT_AFTER = 3


class PoisonRecord(msgspec.Struct):
    """What one poison request has done.

    Attributes:
      ended: when endpoints ended under it.
      late: how often it was sent on long after the last end that is allowed.
      allowed: how many may end before it must be known.
    """

    ended: list[float] = []
    late: int = 0
    allowed: int = _ENDED

    @property
    def known_from(self) -> float:
        """When every machine in touch must know of it."""
        if len(self.ended) < self.allowed:
            return float("inf")
        return self.ended[self.allowed - 1] + _TOLD_S

    @property
    def too_late(self) -> bool:
        """Whether it was sent on more often than may be."""
        return self.late > _SENT_AFTER


def poison_of(req: Received) -> tuple[bytes, int] | None:
    """Returns what makes a request crash endpoints, None if it does not.

    Returns:
      its name, and how many crashes are allowed before it must be known.
    """
    if req.body.startswith(MARK):
        return req.body, _ENDED
    rows = req.headers.get("x-prompt-prefix", "").split(",")
    for row in rows[:-1]:
        if row.startswith(PART_MARK):
            return row.partition(":")[0].encode(), _CRASHED_BY_PART
    return None


def send_again(soak: "Soak", body: bytes, form: Form, until: float) -> None:
    """Sends a request to some machine under a new id, and again later."""
    if soak.now >= until:
        return
    _send(soak, f"/{form.value}/poison", body, form, "")
    pause_s = soak.random.uniform(*_EVERY_S)
    soak.later(pause_s, send_again, soak, body, form, until)


def send_part_again(
    soak: "Soak", part: str, form: Form, place: int, until: float
) -> None:
    """Sends a request whose prompt has a part, and another one later.

    No two are alike; all other parts are those of sound requests.
    """
    if soak.now >= until:
        return
    name = soak.new_id()
    prompt = soak.random.randrange(_PROMPTS)
    parts = [f"a{prompt}:500", f"b{prompt}:2000", f"c{name}:500"]
    parts.insert(place, f"{part}:100")
    _send(soak, f"/{form.value}/{name}", b"", form, ",".join(parts))
    pause_s = soak.random.uniform(*_EVERY_S)
    soak.later(pause_s, send_part_again, soak, part, form, place, until)


def _send(
    soak: "Soak", target: str, body: bytes, form: Form, parts: str
) -> None:
    front = soak.random.choice(soak.fronts)
    row = Sent(
        soak.new_id(),
        form,
        "POST",
        target,
        body,
        "team-a",
        front.machine.name,
        soak.now,
        _DEADLINE_S,
    )
    soak.history.add(row)
    data = request(target, row.request_id, "key-a", "POST", body, parts=parts)
    fut = soak.asker.ask(front.address, data, _DEADLINE_S)
    fut.addCallback(lambda reply: _answered(soak, row, reply))


def some_form(soak: "Soak") -> Form:
    """Returns the form of a poison request, by chance."""
    return soak.random.choice(_FORMS)


def some_prompt_form(soak: "Soak") -> Form:
    """Returns the form of a prompt, by chance."""
    return soak.random.choice(_PROMPT_FORMS)


def _answered(soak: "Soak", row: Sent, reply) -> None:
    if isinstance(reply, Reply):
        soak.history.refused(row, reply.status)
