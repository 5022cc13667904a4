"""Splits a byte stream into complete server-sent events."""

import re

__all__ = ["EventSplitter"]

# The last byte of an event, the end of its line and a blank line.
_END = re.compile(rb"[^\r\n](?>\r\n|\r|\n){2}")
# The blank line of a stream in CRLF, before its last byte. Another endpoint's
# event behind it would be taken for a line of this one by callers that know
# CRLF alone.
_BEGUN_CRLF = b"\r\n\r"
# One byte less than the longest match.
_MAX_BEGUN_END_BYTES = 4
_ID = b"id:"
_DATA = b"data:"
# An event has a few dozen bytes. A longer one is not from an event stream, and
# buffering it without a limit would exhaust the process's memory.
_MAX_EVENT_BYTES = 256 * 1024


class EventSplitter:
    """Returns complete events only, and each event id only once.

    An endpoint can stop in the middle of an event. If its first half had been
    sent to the caller, an attempt that resumes the stream at another endpoint
    could not continue it, and the caller would read two events as one. Bytes
    are therefore buffered until their event is complete, and an event that
    the caller already has is dropped.

    Attributes:
      last_id: the id of the last event that the caller has.
      is_numbered: whether all events with data have had an id, so that another
        endpoint can go on behind the last one.
    """

    def __init__(self, last_id: int = 0):
        self.last_id = last_id
        self.is_numbered = True
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Adds data and returns the new events that are now complete.

        Raises:
          ValueError: if an event exceeds the size limit, which means that
            the data is not an event stream.
        """
        searched_from = max(0, len(self._buffer) - _MAX_BEGUN_END_BYTES)
        data = self._buffer + data
        end = 0
        events = []
        for found in _END.finditer(data, searched_from):
            if found.end() == len(data) and data.endswith(_BEGUN_CRLF):
                break
            event = data[end : found.end()]
            end = found.end()
            if self._is_new(event):
                events.append(event)
        self._buffer = data[end:]
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise ValueError("event exceeds the size limit")
        return b"".join(events)

    def take_rest(self) -> bytes:
        """Returns the line ends behind the last event, at the stream's end."""
        rest, self._buffer = self._buffer, b""
        return rest

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds part of an event, not only line ends."""
        return bool(self._buffer.strip(b"\r\n"))

    def _is_new(self, event: bytes) -> bool:
        number = _id_of(event)
        if number is None:
            if _has_data(event):
                self.is_numbered = False
            return True
        if number <= self.last_id:
            return False
        self.last_id = number
        return True


def _id_of(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(_ID):
            value = line[len(_ID) :].strip()
            return int(value) if value.isdigit() else None
    return None


def _has_data(event: bytes) -> bool:
    return any(line.startswith(_DATA) for line in event.splitlines())
