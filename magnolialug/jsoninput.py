"""Types and decoding of what other programs have written."""

from typing import Annotated, TypeVar

import msgspec

from magnolialug.result import Code, Failure, failed

__all__ = [
    "UNREADABLE",
    "Count",
    "Finite",
    "Name",
    "Rate",
    "Seconds",
    "decode_json",
]

T = TypeVar("T")

# What decoding raises: values nested too deep raise RecursionError, all else
# ValueError.
UNREADABLE = (ValueError, RecursionError)
_MAX_COUNT = 2**53
_MAX_NAME_CHARS = 200
_VALUE_SHOWN = 80

# More than any clock, time or rate of a sound process.
_MAX_NUMBER = 1e15
# A number that is neither infinite nor NaN, which comparisons cannot order.
Finite = Annotated[float, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=_MAX_NUMBER)]
# A number that msgpack and floats can hold.
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
# A text that fits into a header and, with others, into a datagram.
Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_CHARS)]


def decode_json(
    data: bytes, form: type[T], code: Code, field: str
) -> T | Failure:
    """Returns a typed value, or a failure that says why there is none.

    Args:
      code: of the failure.
      field: what the data is, for the failure.
    """
    try:
        return msgspec.json.decode(data, type=form)
    except UNREADABLE as exc:
        return failed(code, str(exc), field, data[:_VALUE_SHOWN])
