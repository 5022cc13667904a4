r"""What each mechanism is worth: a day served without it.

    python -m magnolialug.measure.ablation --figure='worth (\S+) =' \
      --seeds=1,2,3 --work=build/ablation -- COMMAND --seed={seed} ...

runs the command in a copy of the repository for each mechanism and seed, with
the mechanism switched off in the copy, and prints the mean of the figure that
the command's output bears.
"""

import argparse
import pathlib
import re
import shutil
import subprocess
import sys
from collections.abc import Iterator

import msgspec

__all__ = ["MECHANISMS", "Mechanism", "switched_off"]

_IGNORED = (".git", ".venv", "build", "journal", "target", "__pycache__")


class Mechanism(msgspec.Struct, frozen=True):
    """A mechanism, and the constant whose other value switches it off.

    Attributes:
      module: path of the file below the package.
      constant: a name that is assigned to at the top of the module.
      off: the source of the value that switches it off.
    """

    name: str
    module: str
    constant: str
    off: str


# The first row is the system as it is.
MECHANISMS = (
    Mechanism("nothing", "entry/admissionrules.py", "_LARGE_SHARE", "0.04"),
    Mechanism("waiting", "entry/admissionrules.py", "_LARGE_SHARE", "9.0"),
    Mechanism(
        "several lists",
        "entry/httpattemptrunner.py",
        "_MAX_ADMISSION_QUEUES",
        "1",
    ),
    Mechanism(
        "large ones first", "policy/admissionorder.py", "_SIZE_LEAD_S", "0.0"
    ),
    Mechanism(
        "early refusal", "policy/admissionorder.py", "_MIN_GRANTS", "10**9"
    ),
    Mechanism(
        "asking more", "entry/candidateprober.py", "_ROUND_SIZES", "(3,)"
    ),
    Mechanism(
        "asking anybody", "entry/candidateprober.py", "_ROUND_SIZES", "(1,)"
    ),
    Mechanism(
        "what is ahead", "entry/admissionrules.py", "_QUEUED_WORK_SHARE", "99.0"
    ),
    Mechanism("headroom", "policy/endpointledger.py", "HEADROOM", "-0.1"),
    Mechanism("shared silence", "policy/endpointledger.py", "_SILENT_S", "1e9"),
    Mechanism("own silence", "entry/livenessmonitor.py", "_SILENT_S", "1e9"),
    Mechanism(
        "zone price", "entry/costestimator.py", "_CROSS_ZONE_COST_S", "0.0"
    ),
    Mechanism(
        "room price", "policy/enginecost.py", "_LOW_MEMORY_PENALTY_S", "0.0"
    ),
    Mechanism(
        "reading again", "policy/enginecost.py", "_PREFILL_WEIGHT", "0.0"
    ),
    Mechanism(
        "place on the ring", "policy/enginecost.py", "_RANK_PENALTY_S", "0.0"
    ),
    Mechanism(
        "fetch queue", "policy/enginecost.py", "_FETCH_QUEUE_FACTOR", "1.0"
    ),
    Mechanism("fetch bound", "policy/storeindex.py", "_FETCH_VALID_S", "4.0"),
    Mechanism(
        "frees of old weights",
        "prefixcache/garbagecollector.py",
        "_SCAN_INTERVAL_S",
        "1e9",
    ),
    Mechanism(
        "second store owner", "prefixcache/wiring.py", "_OWNERS_PER_STORE", "1"
    ),
    Mechanism("stand-ins", "owners/ownerring.py", "OWNER_CANDIDATES", "1"),
    Mechanism(
        "patience", "entry/placer.py", "_ANSWER_TIMEOUT_TARGET_RATIO", "1e9"
    ),
    Mechanism("health pauses", "policy/health.py", "_FIRST_PAUSE_S", "0.0"),
)


def switched_off(source: str, mechanism: Mechanism) -> str:
    """Returns a module's source with a mechanism switched off.

    Raises:
      LookupError: the module does not assign to the constant.
    """
    pattern = rf"^{re.escape(mechanism.constant)} = .*$"
    line = f"{mechanism.constant} = {mechanism.off}"
    changed, count = re.subn(pattern, lambda _: line, source, flags=re.M)
    if count != 1:
        raise LookupError(f"{mechanism.module}: {mechanism.constant}")
    return changed


def _copy(root: pathlib.Path, work: pathlib.Path, row: Mechanism) -> None:
    shutil.rmtree(work, ignore_errors=True)
    shutil.copytree(root, work, ignore=shutil.ignore_patterns(*_IGNORED))
    path = work / "magnolialug" / row.module
    path.write_text(switched_off(path.read_text("utf-8"), row), "utf-8")


def _figures(
    command: list[str], work: pathlib.Path, seeds: list[str], figure: str
) -> Iterator[float]:
    for seed in seeds:
        words = [word.replace("{seed}", seed) for word in command]
        done = subprocess.run(words, cwd=work, capture_output=True, text=True)
        found = re.search(figure, done.stdout)
        if found is None:
            print(done.stdout[-500:] + done.stderr[-500:], file=sys.stderr)
            continue
        yield float(found.group(1))


def _parse(args: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--figure", required=True, help="a pattern")
    parser.add_argument("--seeds", default="1,2,3", help="with commas")
    parser.add_argument("--only", default="", help="mechanisms, with commas")
    parser.add_argument("--work", default="build/ablation", help="a folder")
    parser.add_argument("command", nargs="+", help="{seed} is replaced")
    return parser.parse_args(args)


def main(args: list[str]) -> None:
    """Prints a line for each mechanism: its name, the mean, the figures."""
    flags = _parse(args)
    only = set(filter(None, flags.only.split(",")))
    root = pathlib.Path.cwd()
    for row in MECHANISMS:
        if only and row.name not in only:
            continue
        work = pathlib.Path(flags.work).resolve()
        _copy(root, work, row)
        seeds = flags.seeds.split(",")
        found = list(_figures(flags.command, work, seeds, flags.figure))
        mean = sum(found) / len(found) if found else float("nan")
        print(f"{row.name:<22}{mean:8.3f}  {found}", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
