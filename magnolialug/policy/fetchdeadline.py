"""Decides until when an engine may wait for parts from stores."""

__all__ = ["fetch_deadline"]

# Time from the end of the prefill to the first event at the caller, and the
# error of the estimated wait.
_FIRST_EVENT_S = 0.15
# A prompt that will be late anyway waits for a fetch no longer than this many
# times what prefill would take: prefill also delays the prompts behind it.
_MAX_READ_TIMES = 3.0
# Shorter waits would discard fetches over idle links.
_MIN_WAIT_S = 0.05


def fetch_deadline(
    target_at: float, now: float, ahead_s: float, read_s: float
) -> float:
    """Returns when a fetch is to be given up and its parts are to be read.

    A store's link can be slow or busy for seconds, which nobody announces.
    While an engine waits for it, the time to read the parts runs out.

    Args:
      target_at: latest time of a first event that is in time, in seconds.
      ahead_s: expected wait until the engine admits the prompt.
      read_s: time to prefill the whole prompt.
    """
    in_time_s = target_at - now - ahead_s - read_s - _FIRST_EVENT_S
    wait_s = max(in_time_s, _MAX_READ_TIMES * read_s, _MIN_WAIT_S)
    return now + ahead_s + wait_s
