"""Send one query over many connections: ``python -m standins.load --help``."""

import json
import random
import time

import click
import curio
from hdrh.histogram import HdrHistogram

from standins import pgclient

MICROSECONDS = 1000000
LONGEST = 60 * MICROSECONDS
DIGITS = 3
LOGIN_BATCH = 50


@click.command()
@click.option('--address', required=True, help='host:port to connect to.')
@click.option('--user', required=True)
@click.option('--password', required=True)
@click.option('--database', default='north')
@click.option('--connections', default=100)
@click.option('--rate', default=0.0, help='Queries a second, 0 for no bound.')
@click.option('--seconds', default=5.0)
@click.option('--query', default='SELECT 1')
def main(**options) -> None:
    """Print how many queries were answered and how fast, as JSON."""
    click.echo(json.dumps(curio.run(_run, options)))


async def _run(options: dict) -> dict:
    clients = await _log_in(options)
    histogram = HdrHistogram(1, LONGEST, DIGITS)
    click.echo('ready', err=True)
    pause = 0.0
    if options['rate']:
        pause = options['connections'] / options['rate']
    # The first round only spreads the connections over time.
    started = time.monotonic() + pause
    deadline = started + options['seconds']
    async with curio.TaskGroup() as group:
        for number, client in enumerate(clients):
            await group.spawn(
                _send,
                client,
                number,
                options['query'],
                pause,
                (started, deadline),
                histogram,
            )
    taken = time.monotonic() - started
    return {
        'connections': len(clients),
        'answered': histogram.get_total_count(),
        'per_second': round(histogram.get_total_count() / taken, 1),
        'p50_ms': histogram.get_value_at_percentile(50) / 1000,
        'p99_ms': histogram.get_value_at_percentile(99) / 1000,
    }


async def _log_in(options: dict) -> list[pgclient.Client]:
    clients: list[pgclient.Client] = []
    while len(clients) < options['connections']:
        missing = options['connections'] - len(clients)
        tasks = [
            await curio.spawn(
                pgclient.connect,
                options['address'],
                {'user': options['user'], 'database': options['database']},
                options['password'],
            )
            for _ in range(min(missing, LOGIN_BATCH))
        ]
        for task in tasks:
            clients.append(await task.join())
    return clients


async def _send(
    client: pgclient.Client,
    number: int,
    query: str,
    pause: float,
    window: tuple[float, float],
    histogram: HdrHistogram,
) -> None:
    chooser = random.Random(number)
    counted_from, deadline = window
    due = time.monotonic() + pause * chooser.random()
    while time.monotonic() < deadline:
        if pause:
            await curio.sleep(max(due - time.monotonic(), 0))
            due += pause
        started = time.monotonic()
        if started >= deadline:
            return
        await client.query(query)
        taken = (time.monotonic() - started) * MICROSECONDS
        if started >= counted_from:
            histogram.record_value(max(int(taken), 1))


if __name__ == '__main__':
    main()
