"""Draws an account: how calls ended and what was read again, by second."""

import pathlib

from magnolialug.ctl.account import Account, Ending

__all__ = ["draw_account"]

_COLOURS = {
    Ending.IN_TIME: "#4c9f70",
    Ending.LATE: "#e0b040",
    Ending.REFUSED: "#9a9a9a",
    Ending.FAILED: "#c0392b",
    Ending.OUT_OF_TIME: "#7d3c98",
    Ending.LEFT: "#5d6d7e",
}
_INCHES = (9, 6)
_THOUSAND = 1000


def draw_account(found: Account, path: str) -> None:
    """Writes an account as a picture; the path's ending names the format.

    Raises:
      OSError: if the file cannot be written.
    """
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "magnolialug"
    from matplotlib import pyplot

    seconds = sorted(
        {at for at, _ in found.seconds} | set(found.reread_seconds)
    )
    figure, (calls, tokens) = pyplot.subplots(
        2, 1, sharex=True, figsize=_INCHES
    )
    floor = [0] * len(seconds)
    for ending in Ending:
        counts = [found.seconds[at, ending] for at in seconds]
        calls.bar(
            seconds,
            counts,
            bottom=floor,
            width=1.0,
            color=_COLOURS[ending],
            label=ending.value,
        )
        floor = [low + count for low, count in zip(floor, counts, strict=True)]
    calls.set_ylabel("calls ended")
    calls.legend(loc="upper right", fontsize="small")
    again = [found.reread_seconds[at] / _THOUSAND for at in seconds]
    tokens.bar(seconds, again, width=1.0, color="#34495e")
    tokens.set_ylabel("thousand shared tokens\nread again")
    tokens.set_xlabel("second of the log")
    figure.tight_layout()
    dated = {"Date": None} if path.endswith(".svg") else None
    figure.savefig(pathlib.Path(path), metadata=dated)
    pyplot.close(figure)
