"""Start one target: ``python -m standins.target --help``."""

import itertools
import pathlib
import traceback

import click
import curio

from standins.target import engine, replication, session


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--host', default='127.0.0.1')
@click.option('--slots', type=int, default=2)
@click.option('--connections', type=int, default=35)
@click.option('--connect-ms', type=float, default=10)
@click.option('--service-ms', type=float, default=0)
@click.option('--lag-ms', type=float, default=0, help='Apply lag.')
@click.option('--user', default='comfreystair')
@click.option('--password', default='target-secret')
@click.option('--primary', is_flag=True, help='Start as primary of term 1.')
@click.option('--follow', default='', help='host:port of the primary.')
@click.option('--journal', type=pathlib.Path, default=None)
@click.option('--wire-log', default='', help='File for all bytes received.')
@click.option('--setup', default='', help='SQL run once by the primary.')
def main(**options) -> None:
    """Serve a few SQL statements on real rows, replicated with a lag."""
    curio.run(_serve, options)


async def _serve(options: dict) -> None:
    target = engine.Engine(options['journal'])
    _start_role(target, options)
    shared = _build_shared(target, options)
    credentials = {
        'user': options['user'],
        'password': options['password'],
        'source': options['host'],
    }
    lag = {'apply_seconds': options['lag_ms'] / 1000}
    await curio.spawn(replication.replicate, target, credentials, daemon=True)
    await curio.spawn(replication.apply_late, target, lag, daemon=True)
    process_ids = itertools.count(1)

    async def serve_client(sock, _address) -> None:
        sock.setsockopt(6, 1, 1)
        try:
            await session.Session(sock, shared, next(process_ids)).serve()
        except Exception:
            traceback.print_exc()

    await curio.tcp_server(
        options['host'], options['port'], serve_client, reuse_address=True
    )


def _start_role(target: engine.Engine, options: dict) -> None:
    if target.promised_term:
        return
    if options['primary']:
        target.fence(1, 'start')
        target.promote(1, 'start')
        for text in options['setup'].split(';'):
            if text.strip():
                target.commit([session.sql.Statement(text)])
    elif options['follow']:
        target.follow(1, options['follow'])


def _build_shared(target: engine.Engine, options: dict) -> session.Shared:
    mechanism = session.make_mechanism()
    settings = {
        'connect_seconds': options['connect_ms'] / 1000,
        'service_seconds': options['service_ms'] / 1000,
        'connections': options['connections'],
        'wire_log': options['wire_log'],
        'mechanism': mechanism,
        'auth_info': mechanism.make_auth_info(options['password']),
    }
    slots = curio.Semaphore(options['slots'])
    return session.Shared(target, slots, curio.Lock(), settings, {})


if __name__ == '__main__':
    main()
