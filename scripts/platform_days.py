"""Runs the scenarios of `experiments/platform` on sites of the users' test bench.

    python -m scripts.platform_days --bench FLEETBENCH SITE... [--only NAME] [--jobs N]

Each scenario becomes a day with the traffic of one of the site's own days. Prints a table with one
line per day: the share of requests served and the rules broken. The exit status is 1 if any rule
was broken.
"""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import tomli_w

ROOT = Path(__file__).resolve().parent.parent
SCENARIOS = ROOT / "experiments" / "platform" / "scenarios.toml"
WORK_FOLDER = ROOT / "target" / "platform-days"
DAY_LINE = re.compile(r"^\S+ +\S+ +(?P<score>-?[\d.]+) +(?P<worth>-?[\d.]+) +(?P<served>[\d.]+)")
BROKEN = re.compile(r"BROKEN: (?P<rules>.*)$")
NOT_OPEN = "is not open"
"""Text in the bench's output for a kind of fault that a site does not support."""
MAX_RUN_SECONDS = 550
SEED = 20261202


@dataclass(frozen=True)
class PlayedDay:
    """One line of the table."""

    site: str
    scenario: str
    worth: str
    served: str
    broken: str


def read_scenarios(path: Path = SCENARIOS) -> list[dict[str, Any]]:
    """Return the scenarios."""
    content = tomllib.loads(path.read_text(encoding="utf-8"))
    scenarios: list[dict[str, Any]] = content["scenario"]
    return scenarios


def make_day(scenario: dict[str, Any], site: dict[str, Any], base: str) -> dict[str, Any]:
    """Return the scenario as a day with the traffic and marks of the site's day `base`."""
    model = next(day for day in site["day"] if day["name"] == base)
    day = {**model, "name": scenario["name"], "seed": SEED}
    day["plan"] = scenario.get("plan", [])
    day["faults"] = scenario.get("faults", [])
    day.pop("closing", None)
    if "closing" in scenario:
        day["closing"] = scenario["closing"]
    return day


def play(bench: str, site_path: Path, scenario: dict[str, Any], base: str) -> PlayedDay:
    """Play one scenario and parse the bench's output."""
    site = tomllib.loads(site_path.read_text(encoding="utf-8"))
    folder = WORK_FOLDER / site_path.stem
    folder.mkdir(parents=True, exist_ok=True)
    day_path = folder / f"{scenario['name']}.toml"
    day_path.write_text(tomli_w.dumps({"day": [make_day(scenario, site, base)]}), encoding="utf-8")
    command = [bench, "run", str(site_path), str(day_path), "--why", scenario["provokes"]]
    try:
        finished = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=MAX_RUN_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return PlayedDay(site_path.stem, scenario["name"], "-", "-", "not finished in time")
    sheet = finished.stdout + finished.stderr
    (folder / f"{scenario['name']}.sheet").write_text(sheet, encoding="utf-8")
    return read_sheet(site_path.stem, scenario["name"], sheet)


def read_sheet(site: str, scenario: str, sheet: str) -> PlayedDay:
    """Parse worth, share served and broken rules from the bench's output."""
    worth, served, broken = "-", "-", "no sheet"
    if NOT_OPEN in sheet:
        return PlayedDay(site, scenario, "-", "not open on this site", "")
    for line in sheet.splitlines():
        match = DAY_LINE.match(line)
        if match and line.startswith(scenario[:10]):
            worth, served = match["worth"], match["served"]
            rules = BROKEN.search(line)
            broken = rules["rules"] if rules else ""
            break
    return PlayedDay(site, scenario, worth, served, broken)


@click.command()
@click.argument("sites", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--bench", required=True, help="The users' program that plays days.")
@click.option("--only", default="", help="Play scenarios whose name contains this text.")
@click.option("--base", default="trouble-1", help="The site's day that gives the traffic.")
@click.option("--jobs", default=3, help="Days played at a time.")
def main(sites: tuple[Path, ...], bench: str, only: str, base: str, jobs: int) -> None:
    """Play the scenarios and print a table."""
    scenarios = [each for each in read_scenarios() if only in each["name"]]
    with ThreadPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(play, bench, site, scenario, base)
            for site in sites
            for scenario in scenarios
        ]
        days = [future.result() for future in futures]
    click.echo("| site | scenario | worth | served | broken |\n|---|---|---|---|---|")
    for day in days:
        row = (day.site, day.scenario, day.worth, day.served, day.broken or "none")
        click.echo(f"| {' | '.join(row)} |")
    sys.exit(1 if any(day.broken for day in days) else 0)


if __name__ == "__main__":
    main()
