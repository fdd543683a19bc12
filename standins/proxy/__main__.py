"""Start the fault proxy: ``python -m standins.proxy --help``."""

import json

import click
import curio
from curio import socket

from standins.proxy.rules import Rules

_READ_BYTES = 65536
_POLL_SECONDS = 0.01
_LOSE_SECONDS = 0.05


@click.command()
@click.option('--control', type=int, required=True, help='Control port.')
@click.option(
    '--link',
    'links',
    multiple=True,
    help='NAME=LISTEN_PORT:HOST:PORT, any number of times.',
)
def main(control: int, links: tuple[str, ...]) -> None:
    """Forward links; rules cut, freeze or delay them by their ends.

    A rule is a JSON object with source, destination, mode and ms. The control
    port takes one JSON list of rules a line, which replaces all before.
    """
    curio.run(_serve, control, links)


async def _serve(control: int, links: tuple[str, ...]) -> None:
    rules = Rules()
    async with curio.TaskGroup() as group:
        await group.spawn(_serve_control, control, rules)
        for link in links:
            name, _, ends = link.partition('=')
            port, host, upstream = ends.split(':')
            await group.spawn(
                _serve_link, rules, name, int(port), (host, int(upstream))
            )


async def _serve_control(port: int, rules: Rules) -> None:
    async def serve_client(client, _address) -> None:
        stream = client.as_stream()
        async for line in stream:
            await rules.replace(json.loads(line))
            await client.sendall(b'ok\n')

    await curio.tcp_server('127.0.0.1', port, serve_client)


async def _serve_link(
    rules: Rules, name: str, port: int, upstream: tuple[str, int]
) -> None:
    async def serve_client(client, address) -> None:
        ends = (address[0], name)
        while rules.find(ends, 'freeze') or rules.find(ends, 'cut'):
            await curio.sleep(_POLL_SECONDS)
        try:
            await _forward(rules, ends, client, upstream)
        except OSError:
            return

    await curio.tcp_server('127.0.0.1', port, serve_client, backlog=1000)


async def _forward(
    rules: Rules, ends: tuple[str, str], client, upstream: tuple[str, int]
) -> None:
    server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    server.bind((ends[0], 0))
    async with server:
        await server.connect(upstream)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(_pump, rules, ends, client, server)
            await group.spawn(_pump, rules, ends, server, client)


async def _pump(rules: Rules, ends: tuple[str, str], source, sink) -> None:
    while True:
        chunk = await source.recv(_READ_BYTES)
        if not chunk:
            return
        await rules.pass_through(ends)
        held = rules.take_match(ends, 'hold', chunk)
        if held:
            await curio.sleep(held['ms'] / 1000)
        await sink.sendall(chunk)
        if rules.take_match(ends, 'lose', chunk):
            await curio.sleep(_LOSE_SECONDS)
            return


if __name__ == '__main__':
    main()
