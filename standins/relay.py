"""A bare byte relay on curio, the bound of what a proxy can reach."""

import itertools

import click
import curio
from curio import socket

READ_BYTES = 65536


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--target', 'targets', multiple=True, help='host:port.')
def main(port: int, targets: tuple[str, ...]) -> None:
    """Relay each connection to a target, in turn."""
    chosen = itertools.cycle(targets)

    async def serve_client(client, _address) -> None:
        host, target_port = next(chosen).split(':')
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        server = await curio.open_connection(host, int(target_port))
        server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(_pump, client, server)
            await group.spawn(_pump, server, client)

    async def serve() -> None:
        await curio.tcp_server('127.0.0.1', port, serve_client, backlog=1000)

    curio.run(serve)


async def _pump(source, sink) -> None:
    chunk = await source.recv(READ_BYTES)
    while chunk:
        await sink.sendall(chunk)
        chunk = await source.recv(READ_BYTES)


if __name__ == '__main__':
    main()
