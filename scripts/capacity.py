"""Write docs/CAPACITY.md from docs/measurements, or check that it is what they give.

`python -m scripts.capacity` writes the page; with `--check` it writes nothing, and ends with
status 1 where the page differs.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click

from jasperwalk_lab.scale.capacity_page import render
from jasperwalk_lab.scale.measurements import read_measurements

ROOT = Path(__file__).resolve().parent.parent
FOLDER = ROOT / "docs" / "measurements"
PAGE = ROOT / "docs" / "CAPACITY.md"
EXIT_DIFFERS = 1


@click.command()
@click.option("--check", is_flag=True, help="Write nothing; fail where the page differs.")
@click.option("--folder", type=click.Path(path_type=Path, file_okay=False), default=FOLDER)
@click.option("--page", type=click.Path(path_type=Path, dir_okay=False), default=PAGE)
def main(check: bool, folder: Path, page: Path) -> None:
    """Work the capacity page out from the measurements."""
    text = render(read_measurements(folder))
    if not check:
        page.write_text(text, encoding="utf-8")
        return
    if not page.exists() or page.read_text(encoding="utf-8") != text:
        click.echo(f"{page.name} differs from its measurements; run python -m scripts.capacity")
        sys.exit(EXIT_DIFFERS)


if __name__ == "__main__":
    main()
