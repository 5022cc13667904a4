"""Typed messages between entries and sidecars.

Each message is a msgpack array whose first element is its tag. New fields are
only added at the end, with a default, so that processes of adjacent versions
can decode each other's messages.
"""

from typing import Annotated

import msgspec

from magnolialug.attempt import Attempt, AttemptState
from magnolialug.jsoninput import Count, Finite, Rate, Seconds

__all__ = [
    "Ack",
    "Cancel",
    "ConfigDoc",
    "ConfigWant",
    "Dispatch",
    "Done",
    "Find",
    "Hello",
    "Message",
    "Outcome",
    "Ping",
    "Refused",
    "Resume",
    "Status",
    "Token",
    "Welcome",
    "decode",
    "encode",
]


_MAX_PRIORITIES = 1000


class _Tagged(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""


class Hello(_Tagged, frozen=True, array_like=True, tag="hello"):
    """First message of an entry: its id and its configuration version."""

    entry: str
    config_version: Count


class Welcome(_Tagged, frozen=True, array_like=True, tag="welcome"):
    """First message of a sidecar."""

    endpoint: str
    incarnation: str
    now: Finite


class Status(_Tagged, frozen=True, array_like=True, tag="status"):
    """A sidecar's load, sent in band with answers and as its heartbeat.

    Attributes:
      now: the sidecar's monotonic clock in seconds.
      draining: whether it refuses new attempts.
      running: attempts that hold a slot.
      queued: attempts in the queue.
      queued_by_priority: queued prompt tokens, by priority number.
      prefill_rate: prompt tokens per second, estimated from past attempts.
      run_s: seconds an attempt holds a slot, estimated from past attempts.
      filled: prompt tokens put into the engine's cache since its start.
      epoch: incremented when the sidecar can no longer guarantee what the
        engine has cached, which invalidates all earlier cache estimates.
      weights: the endpoint's current weight version.
      config_version: the version of the sidecar's current configuration.
      entries: the number of entries connected to the sidecar.
      beat: the latest `beat` that any entry sent in a Ping.
    """

    now: Finite
    draining: bool
    running: Count
    queued: Count
    queued_by_priority: Annotated[
        tuple[Count, ...], msgspec.Meta(max_length=_MAX_PRIORITIES)
    ]
    prefill_rate: Rate
    run_s: Seconds
    filled: Count
    epoch: Count
    weights: str
    config_version: Count
    entries: Count
    beat: Finite = 0.0


class Dispatch(_Tagged, frozen=True, array_like=True, tag="dispatch"):
    """Requests that the sidecar run an attempt.

    Attributes:
      wait_s: seconds from now until the first piece of the answer is due.
      root: the placement key of the prompt, a hash.
      idempotent: whether the request may be run again on another endpoint.
      body: prompt text for a model, JSON text for a plain service.
      resume_after: the number of tokens of resume_text already delivered.
      resume_text: the answer up to now, which the engine continues.
      params: sampling options as JSON.
    """

    attempt: Attempt
    service: str
    kind: str
    model: str
    weights: str
    root: str
    body: str
    max_tokens: Count
    wait_s: Seconds
    idempotent: bool
    resume_after: Count = 0
    resume_text: str = ""
    params: str = "{}"


class Token(_Tagged, frozen=True, array_like=True, tag="token"):
    """A piece of the answer; seq counts from 1 within the request."""

    attempt: Attempt
    seq: Count
    text: str


class Done(_Tagged, frozen=True, array_like=True, tag="done"):
    """The answer is complete.

    Attributes:
      last_seq: the number of pieces of the answer.
      stored_tokens: the length of the prefix that a store holds.
      ttft_s: seconds from the dispatch's arrival to the first piece.
    """

    attempt: Attempt
    last_seq: Count
    prompt_tokens: Count
    recomputed_tokens: Count
    imported_tokens: Count
    stored_tokens: Count
    ttft_s: Finite
    finish: str


class Refused(_Tagged, frozen=True, array_like=True, tag="refused"):
    """The attempt did not run and will not run."""

    attempt: Attempt
    code: int
    reason: str
    retry_after_s: Seconds


class Outcome(_Tagged, frozen=True, array_like=True, tag="outcome"):
    """The state of an attempt whose answer cannot be streamed.

    Attributes:
      sealing: whether the query would have sealed an attempt that the sidecar
        never received. Only then is the state "forgotten" final.
    """

    attempt: Attempt
    state: AttemptState
    code: int
    reason: str
    sealing: bool = True


class Resume(_Tagged, frozen=True, array_like=True, tag="resume"):
    """Requests an attempt's answer after a piece, on any connection.

    Attributes:
      seal: if the sidecar never received the attempt, refuse it permanently
        and report that.
    """

    attempt: Attempt
    after_seq: int
    seal: bool


class Find(_Tagged, frozen=True, array_like=True, tag="find"):
    """Requests an answer by the request's id alone, as a caller does."""

    team: str
    request_id: str
    after_seq: int


class Ack(_Tagged, frozen=True, array_like=True, tag="ack"):
    """The caller has received all pieces up to `seq`."""

    attempt: Attempt
    seq: int


class Cancel(_Tagged, frozen=True, array_like=True, tag="cancel"):
    """No caller waits for an idempotent attempt any more."""

    attempt: Attempt


class Ping(_Tagged, frozen=True, array_like=True, tag="ping"):
    """An entry's heartbeat; answered by a Status.

    Attributes:
      config_version: the version of the entry's current configuration.
      beat: the wall-clock time, in seconds, of the last contact of any watcher
        known to the entry with the key-value service. Sidecars pass it on, so
        that one contact is known to the whole fleet.
    """

    config_version: Count
    beat: Finite = 0.0


class ConfigWant(_Tagged, frozen=True, array_like=True, tag="config-want"):
    """Requests the peer's configuration if newer than `have_version`."""

    have_version: int


class ConfigDoc(_Tagged, frozen=True, array_like=True, tag="config-doc"):
    """A complete accepted configuration.

    Attributes:
      digest: hex blake2b of `text`, which the receiver verifies before use.
      text: the configuration as its canonical JSON.
    """

    version: int
    digest: str
    text: str


Message = (
    Hello
    | Welcome
    | Status
    | Dispatch
    | Token
    | Done
    | Refused
    | Outcome
    | Resume
    | Find
    | Ack
    | Cancel
    | Ping
    | ConfigWant
    | ConfigDoc
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(msg: Message) -> bytes:
    """Returns the msgpack bytes of a message."""
    return _ENCODER.encode(msg)


def decode(data: bytes) -> Message:
    """Returns the message in one frame.

    Raises:
      msgspec.DecodeError: the bytes are not msgpack or not a known message.
    """
    return _DECODER.decode(data)
