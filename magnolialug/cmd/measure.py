"""magnolialug-measure: slopes of cost, and the decisions under load."""

import concurrent.futures
import pathlib
import sys

import msgspec
from loguru import logger

from magnolialug.cmd.flagset import EXIT_BAD_INPUT, Flag, Group, parse
from magnolialug.config.folder import read_folder
from magnolialug.measure.capacity import capacity_rows, capacity_table
from magnolialug.measure.page import (
    replace_table,
    scenarios_plot,
    scenarios_table,
    slopes_plot,
    slopes_table,
)
from magnolialug.measure.scenario import SCENARIOS, run_scenario
from magnolialug.measure.slopes import measure_slopes

__all__ = ["run"]

_GROUPS = (
    Group(
        "What",
        (
            Flag("scenario", ("", "all", *SCENARIOS), "", "what to serve"),
            Flag("seed", "int", 7, "the same seed gives the same figures"),
            Flag("workers", "int", 4, "scenarios measured side by side"),
            Flag("slopes", "bool", False, "measure what one more costs"),
            Flag("examples", "str", "examples", "folder of deployments"),
        ),
    ),
    Group(
        "Output",
        (
            Flag("format", ("table", "json"), "table", "form of the result"),
            Flag("page", "str", "", "page whose tables are rewritten"),
            Flag("plot", "str", "", "SVG file to write"),
        ),
    ),
)


def run() -> None:
    """Runs the program; see --help."""
    flags, rest = parse(
        "magnolialug-measure",
        "measures what things cost and how decisions fare",
        _GROUPS,
    )
    logger.remove()
    if rest or not (flags.slopes or flags.scenario):
        print("nothing to measure; see --help", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    if flags.slopes:
        _slopes(flags)
    if flags.scenario:
        _scenarios(flags)


def _slopes(flags) -> None:
    base = read_folder(str(pathlib.Path(flags.examples, "tiszavirag")))
    slopes = measure_slopes(base)
    table = slopes_table(slopes)
    if flags.format == "json":
        print(msgspec.json.encode(slopes).decode())
    else:
        print(table)
    if flags.page:
        page = pathlib.Path(flags.page)
        by_name = {slope.name: slope for slope in slopes}
        replace_table(page, "slopes", table)
        rows = capacity_table(capacity_rows(by_name))
        replace_table(page, "capacity", rows)
    if flags.plot:
        slopes_plot(slopes, flags.plot)


def _scenarios(flags) -> None:
    names = list(SCENARIOS) if flags.scenario == "all" else [flags.scenario]
    seeds = [flags.seed] * len(names)
    with concurrent.futures.ProcessPoolExecutor(flags.workers) as pool:
        parts = pool.map(run_scenario, names, seeds)
        results = [result for part in parts for result in part]
    table = scenarios_table(results)
    if flags.format == "json":
        for result in results:
            print(msgspec.json.encode(result).decode())
    else:
        print(table)
    if flags.page:
        replace_table(pathlib.Path(flags.page), "measures", table)
    if flags.plot:
        scenarios_plot(results, flags.plot)
