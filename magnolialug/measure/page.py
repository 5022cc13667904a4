"""Writes measured tables into pages, and plots."""

import pathlib

from magnolialug.measure.slope import Slope

__all__ = [
    "replace_table",
    "scenarios_plot",
    "scenarios_table",
    "slopes_plot",
    "slopes_table",
]


def replace_table(page: pathlib.Path, name: str, table: str) -> None:
    """Puts a table between a page's markers of that name.

    Raises:
      ValueError: the page has no such markers.
    """
    begin, end = f"<!-- {name}:begin -->", f"<!-- {name}:end -->"
    text = page.read_text()
    if begin not in text or end not in text:
        raise ValueError(f"{page}: no markers {begin} and {end}")
    head, _, rest = text.partition(begin)
    _, _, tail = rest.partition(end)
    page.write_text(f"{head}{begin}\n{table}{end}{tail}")


def slopes_table(slopes: list[Slope]) -> str:
    """Returns slopes as a Markdown table."""
    lines = [
        "| one more | median | least | greatest | unit |",
        "|---|---|---|---|---|",
    ]
    for slope in slopes:
        figures = (slope.median, slope.low, slope.high)
        row = " | ".join(f"{figure:,.1f}" for figure in figures)
        lines.append(f"| {slope.name} | {row} | {slope.unit} |")
    return "\n".join(lines) + "\n"


def slopes_plot(slopes: list[Slope], path: str) -> None:
    """Draws the processor slopes as bars with their spread."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "magnolialug"
    from matplotlib import pyplot

    rows = [slope for slope in slopes if slope.unit == "us"]
    figure, axes = pyplot.subplots(figsize=(9, 0.4 * len(rows) + 1))
    medians = [slope.median for slope in rows]
    spread = [
        [max(0.0, slope.median - slope.low) for slope in rows],
        [max(0.0, slope.high - slope.median) for slope in rows],
    ]
    axes.barh([slope.name for slope in rows], medians, xerr=spread)
    axes.set_xscale("log")
    axes.set_xlabel("processor time, microseconds")
    axes.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def scenarios_table(results: list[dict]) -> str:
    """Returns scenario results as a Markdown table."""
    lines = [
        "| scenario | workload | policy | TTFT p50 | p95 | p99 |"
        " recomputed | memory link | disk link | goodput | refused |"
        " unknown | violations |",
        "| --- | --- | --- " + "| --- " * 10 + "|",
    ]
    for result in results:
        for policy, row in result["policies"].items():
            ttft = row["ttft_s"]
            links = row["link_utilisation"]
            figures = [
                ttft.get("p50", 0),
                ttft.get("p95", 0),
                ttft.get("p99", 0),
                row["recomputed_share"],
                links["memory"],
                links["disk"],
                row["goodput"],
                row["refused_share"],
            ]
            cells = " | ".join(f"{figure:.3f}" for figure in figures)
            lines.append(
                f"| {result['scenario']} | {result['workload']} | {policy} |"
                f" {cells} | {row['unknown_outcomes']} |"
                f" {sum(row['violations'].values())} |"
            )
    return "\n".join(lines) + "\n"


def scenarios_plot(results: list[dict], path: str) -> None:
    """Draws recomputed share and TTFT p95 of every policy."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "magnolialug"
    from matplotlib import pyplot

    wanted = (
        ("listings", "recomputed share", lambda row: row["recomputed_share"]),
        ("coop", "TTFT p95, s", lambda row: row["ttft_s"].get("p95", 0)),
    )
    figure, panes = pyplot.subplots(2, 1, figsize=(11, 8))
    for axes, (workload, title, figure_of) in zip(panes, wanted, strict=True):
        rows = [r for r in results if r["workload"] == workload]
        policies = list(rows[0]["policies"])
        for number, policy in enumerate(policies):
            places = [n + 0.16 * number for n in range(len(rows))]
            heights = [figure_of(r["policies"][policy]) for r in rows]
            axes.bar(places, heights, 0.15, label=policy)
        axes.set_xticks(
            [n + 0.32 for n in range(len(rows))],
            [r["scenario"] for r in rows],
            rotation=20,
        )
        axes.set_title(f"{workload}: {title}")
        axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
