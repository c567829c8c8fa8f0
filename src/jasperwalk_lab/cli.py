"""The command line of the lab: one module per command under `jasperwalk_lab.commands`."""

from __future__ import annotations

import sys

import click

from jasperwalk.errors import JasperwalkError
from jasperwalk_lab.commands.chaos import chaos
from jasperwalk_lab.commands.demo import demo
from jasperwalk_lab.commands.experiment import experiment, report
from jasperwalk_lab.commands.fleet import fleet
from jasperwalk_lab.commands.load import load
from jasperwalk_lab.commands.simulate import simulate
from jasperwalk_lab.commands.soak import soak
from jasperwalk_lab.commands.stand_in import stand_in
from jasperwalk_lab.serving import configure_lab_logging

EXIT_FAILED = 1


@click.group()
def lab() -> None:
    """Run fleets of jasperwalk on this machine, with stand-ins for its surroundings."""
    configure_lab_logging()


lab.add_command(chaos)
lab.add_command(demo)
lab.add_command(experiment)
lab.add_command(fleet)
lab.add_command(load)
lab.add_command(report)
lab.add_command(simulate)
lab.add_command(soak)
lab.add_command(stand_in)


def main() -> None:
    """Run the command line; a typed failure is printed as one line, with exit status 1."""
    try:
        lab()
    except JasperwalkError as error:
        click.echo(f"jasperwalk-lab: {error.kind}: {error.describe()}", err=True)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
