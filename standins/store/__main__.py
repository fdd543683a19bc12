"""Start the platform: ``python -m standins.store --help``."""

import click
import curio

from standins.store import server


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--host', default='127.0.0.1')
@click.option('--list-lag-ms', type=float, default=500)
def main(port: int, host: str, list_lag_ms: float) -> None:
    """Serve the store's JSON interface and the list of instances."""
    platform = server.Platform(list_lag_ms / 1000)

    async def serve_client(sock, _address) -> None:
        await server.serve_connection(platform, sock)

    curio.run(curio.tcp_server, host, port, serve_client)


if __name__ == '__main__':
    main()
