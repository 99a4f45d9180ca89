"""Run one seed of the randomised test in virtual time.

Run ``python -m cassiarail.testbed.soak --seed 1 --seconds 30``, or ``make soak
SEED=1 SECONDS=30``. The same seed reproduces the run.
"""

import pathlib
from typing import Annotated

import msgspec
import typer
from absl import logging

from cassiarail.commands.options import EXIT_FAILED
from cassiarail.testbed.runner import RunSettings, run_in_virtual_time

program = typer.Typer(add_completion=False)
_DEFAULT_FOLDER = pathlib.Path('examples/salines')


@program.command()
def run(
    folder: Annotated[
        pathlib.Path,
        typer.Option('--declarations', help='Folder of declarations.'),
    ] = _DEFAULT_FOLDER,
    seed: Annotated[int, typer.Option(help='Seed of load and faults.')] = 1,
    seconds: Annotated[float, typer.Option(help='Virtual seconds.')] = 30,
    rate: Annotated[float, typer.Option(help='Requests a second.')] = 15,
    faults: Annotated[int, typer.Option(help='Faults of the platform.')] = 13,
) -> None:
    """Print the report of one seed; exit 1 if a guarantee was violated."""
    logging.set_verbosity(logging.FATAL)
    settings = RunSettings(folder, seed, seconds, rate, faults=faults)
    run_result = run_in_virtual_time(settings)
    typer.echo(msgspec.json.encode(run_result.report).decode())
    for name in run_result.violations:
        typer.echo(f'guarantee violated: {name}', err=True)
    if run_result.violations:
        typer.echo(
            f'repeat with: python -m cassiarail.testbed.soak --declarations'
            f' {folder} --seed {seed} --seconds {seconds} --rate {rate}'
            f' --faults {faults}',
            err=True,
        )
        raise typer.Exit(EXIT_FAILED)


if __name__ == '__main__':
    program()
