"""Whole server-sent events out of pieces of a stream."""

__all__ = ["EventCutter"]

_END = b"\n\n"
_ID = b"id:"
# An event is a few dozen bytes; what grows beyond this is no event stream,
# and would fill the process's memory.
_LONGEST = 256 * 1024


class EventCutter:
    """Lets whole events pass, each id once.

    An endpoint can stop in the middle of an event. If the torn half had gone
    to the caller, the run that goes on at another endpoint could not be
    joined to it; one would notice two events run together. So bytes wait
    here until their event is whole, and an event that the caller already has
    is dropped.

    Attributes:
      last: the id of the last event that passed.
    """

    def __init__(self, last: int = 0):
        self.last = last
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events that are now complete.

        Raises:
          ValueError: if what comes is no event stream.
        """
        data = self._rest + data
        end = data.rfind(_END)
        if end < 0:
            self._rest = data
            if len(data) > _LONGEST:
                raise ValueError("an event without end")
            return b""
        self._rest = data[end + len(_END) :]
        whole = data[: end + len(_END)]
        return b"".join(filter(self._passes, _split(whole)))

    @property
    def torn(self) -> bool:
        """Whether part of an event is waiting for its rest."""
        return bool(self._rest)

    def _passes(self, event: bytes) -> bool:
        number = _id_of(event)
        if number is None:
            return True
        if number <= self.last:
            return False
        self.last = number
        return True


def _split(events: bytes) -> list[bytes]:
    return [event + _END for event in events.split(_END) if event]


def _id_of(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            value = line[len(_ID) :].strip()
            return int(value) if value.isdigit() else None
    return None
