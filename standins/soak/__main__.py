"""Run the soak: ``python -m standins.soak --help``."""

import sys
import time

import click

from standins.soak.run import play


@click.command()
@click.option('--seed', default=0, help='First seed; 0 for a fresh one.')
@click.option('--runs', default=1, help='Seeds to play, one after another.')
@click.option('--seconds', default=10.0, help='How long faults come.')
@click.option('--instances', default=3, help='Entry instances.')
def main(seed: int, runs: int, seconds: float, instances: int) -> None:
    """Play seeds and print each with what it found."""
    first = seed or time.time_ns() % 10**8
    failed = 0
    for number in range(first, first + runs):
        verdict = play(number, seconds, instances)
        failed += bool(verdict.findings)
        click.echo(f'seed {number} served {verdict.served}')
        for finding in verdict.findings:
            click.echo(f'  {finding}')
    click.echo(f'{runs - failed} seeds kept all promises, {failed} did not')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
