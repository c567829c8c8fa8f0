"""Play days with each mechanism switched off: `python -m scripts.ablation --bench B SITE...`.

Each switch of the table `[policies]` is turned off in a copy of the work tree, and the users' test
bench plays the days there. Prints a Markdown table: worth of each day, and rules broken. The copies
are kept for their journals; they must be in a folder that programs on the bench may read.
"""

from __future__ import annotations

import shutil
import subprocess
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import click
from msgspec.structs import fields

from jasperwalk.fleet.settings import Policies
from scripts.platform_days import BROKEN, DAY_LINE

ROOT = Path(__file__).resolve().parent.parent
TEMPLATES = ("balancer", "agent")
NOTHING_OFF = "none"


@dataclass(frozen=True)
class PlayedDay:
    """The bench's result of one day: its worth, and the rules broken."""

    worth: float
    broken: str


def switches() -> list[str]:
    """Return the names of the mechanisms that may be switched off."""
    return [field.name for field in fields(Policies)]


def switch_off(tree: Path, switch: str) -> None:
    """Turn a mechanism off in the settings templates of a tree."""
    for role in TEMPLATES:
        template = tree / "platform" / f"{role}.toml.template"
        content = template.read_text()
        template.write_text(f"{content}\n[policies]\n{switch} = false\n")


def read_day(output: str, day: str) -> PlayedDay | None:
    """Parse a day's line of the bench's output; None where the day was not played."""
    for line in output.splitlines():
        found = DAY_LINE.match(line)
        if found is not None and line.split()[0] == day:
            broken = BROKEN.search(line)
            return PlayedDay(float(found["worth"]), broken["rules"] if broken else "")
    return None


def copy_tree(target: Path) -> None:
    """Copy the files that git tracks, and the output of the last build."""
    listed = subprocess.run(
        ["git", "ls-files", "-z"], cwd=ROOT, capture_output=True, text=True, check=True
    )
    for name in filter(None, listed.stdout.split("\0")):
        place = target / name
        place.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(ROOT / name, place)
    if (ROOT / "target" / "deps").is_dir():
        shutil.copytree(ROOT / "target", target / "target", dirs_exist_ok=True)


def play(bench: Path, tree: Path, site: Path, day: str, seed: int | None, why: str) -> str:
    """Play one day in a tree; return the bench's output."""
    arguments = [str(bench), "run", str(site), day, "--why", why]
    if seed is not None:
        arguments += ["--seed", str(seed)]
    finished = subprocess.run(arguments, cwd=tree, capture_output=True, text=True, check=False)
    return finished.stdout + finished.stderr


def cells(played: Sequence[PlayedDay | None]) -> str:
    """Return the cells of a table's row."""
    shown = ["not played" if each is None else f"{each.worth:.3f} {each.broken}" for each in played]
    return " | ".join(each.strip() for each in shown)


@click.command()
@click.argument("sites", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--bench", required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--copies", required=True, type=click.Path(path_type=Path), help="Folder for copies.")
@click.option("--day", "days", multiple=True, default=("scale-1", "scale-2"), show_default=True)
@click.option("--seed", "seeds", multiple=True, type=int, help="Default: each day's own.")
@click.option("--switch", "chosen", multiple=True, help="Default: all switches.")
def main(
    sites: Sequence[Path],
    bench: Path,
    copies: Path,
    days: Sequence[str],
    seeds: Sequence[int],
    chosen: Sequence[str],
) -> None:
    """Play SITES with all mechanisms on, and then with each one switched off."""
    plays = [
        (site.resolve(), day, seed) for site in sites for day in days for seed in seeds or [None]
    ]
    heads = " | ".join(f"{site.stem} {day} {seed or ''}".strip() for site, day, seed in plays)
    click.echo(f"| off | {heads} |\n|{'---|' * (len(plays) + 1)}")
    for switch in [NOTHING_OFF, *(chosen or switches())]:
        tree = copies / f"ablation-{switch}"
        copy_tree(tree)
        if switch != NOTHING_OFF:
            switch_off(tree, switch)
        played = [
            read_day(play(bench.resolve(), tree, *each, f"ablation: {switch} off"), each[1])
            for each in plays
        ]
        click.echo(f"| {switch} | {cells(played)} |")


if __name__ == "__main__":
    main()
