"""An explanation as text."""

from magnolialug.preview.explanation import (
    Compared,
    Explanation,
    Outcome,
    Refusal,
)

__all__ = ["as_lines", "refusal_line"]

_FIELDS = frozenset(("endpoint", "cost"))


def as_lines(explanation: Explanation) -> list[str]:
    """Returns an explanation as lines for a terminal."""
    lines = [_headline(explanation)]
    if explanation.service:
        lines.append(
            f"route {explanation.route}, service {explanation.service}, team"
            f" {explanation.team or 'none'}, priority {explanation.priority}"
        )
    if explanation.basis is not None:
        lines.append(f"rests on {explanation.basis.value}")
    for queue in explanation.queues:
        lines.append(
            f"  queue of {queue.endpoint}: {queue.tokens} tokens of memory,"
            f" {queue.unread} unread"
        )
    if explanation.queued_work_s is not None:
        lines.append(
            f"  admitted where less than {explanation.queued_work_s:g} s of"
            " prefill is ahead"
        )
    if explanation.compared:
        lines.append("compared:")
    for row in explanation.compared:
        lines += _compared(row)
    if explanation.passed_over:
        lines.append("passed over:")
    lines += [f"  {row.endpoint}: {row.why}" for row in explanation.passed_over]
    return lines + [f"note: {note}" for note in explanation.notes]


def refusal_line(refusal: Refusal) -> str:
    """Returns a refusal as one line."""
    line = f"{refusal.code} {refusal.name}: {refusal.reason}"
    if refusal.field or refusal.value:
        line += f" ({refusal.field} {refusal.value})"
    if refusal.retry_after_s:
        line += f", again after {refusal.retry_after_s:g} s"
    return line


def _headline(explanation: Explanation) -> str:
    at = f"at {explanation.vm}: "
    if explanation.outcome is Outcome.SENT:
        return f"{at}to {explanation.endpoint}: {explanation.reason}"
    if explanation.refusal is not None:
        return f"{at}refused, {refusal_line(explanation.refusal)}"
    return f"{at}{explanation.outcome.value}: {explanation.reason}"


def _compared(row: Compared) -> list[str]:
    """Returns the lines of one endpoint.

    The flags of a candidate are shown by their names, whichever it has.
    """
    flags = ", ".join(
        _flag(name, value)
        for name, value in row.candidate.items()
        if name not in _FIELDS
    )
    lines = [
        f"  {row.endpoint} ({row.zone}, {row.state}): cost"
        f" {row.candidate['cost']:.4f} s, {flags}",
        f"    {row.running} running, {_age(row.reply_age_ms)}",
    ]
    if row.first_event_s is None:
        return lines
    pending = "/".join(map(str, row.pending_prefill)) or "0"
    lines[-1] = (
        f"    {row.running} running, {row.writing} writing elsewhere,"
        f" {row.waiting} waiting, memory {row.held_share:.2f} held,"
        f" unread elsewhere by priority {pending}, {_age(row.reply_age_ms)}"
    )
    lines.append(
        f"    {row.ahead_s:.3f} s ahead, first event in"
        f" {row.first_event_s:.3f} s, {row.unread} unread, weights"
        f" {row.weights or 'not known'}, {row.cached_parts} parts cached"
    )
    pauses = "hold" if row.keeps_pauses else "would not hold"
    lines.append(
        f"    reads {row.tokens_per_s} tokens/s, pauses of its streams {pauses}"
    )
    if row.sources:
        parts = ", ".join(f"{name} {source}" for name, source in row.sources)
        lines.append(f"    parts: {parts}")
    return lines


def _flag(name: str, value: object) -> str:
    shown = name.replace("_", " ")
    if isinstance(value, bool):
        return shown if value else f"not {shown}"
    return f"{shown} {value}"


def _age(reply_age_ms: int | None) -> str:
    if reply_age_ms is None:
        return "owner silent"
    return f"owner's reply {reply_age_ms} ms old"
