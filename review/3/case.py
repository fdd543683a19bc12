"""A primary crashes while one replica drains and the other one is deaf.

The service has `SyncReplicas` 1, so each acknowledged commit is in the log of
the primary and of the draining replica.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import fleet

WRITE_SECONDS = 2.0
PROMOTE_SECONDS = 10.0


async def play(record):
    """Write, crash the primary, and look at the log of the next one."""
    deployment = fleet.Fleet(record, sync=1)
    await deployment.start()
    try:
        return await play_crash(deployment, record)
    finally:
        await deployment.stop()


async def play_crash(deployment, record):
    """Return the acknowledged commits that the promoted database lacks."""
    service = deployment.service
    primary, draining, deaf = service.databases.values()
    if fleet.HAS_TROUBLE:
        record.write(draining.ident, 'draining')
        draining.is_draining = True
        record.write(deaf.ident, 'deaf')
        deaf.is_deaf = True
        # The entry is read once a second in each zone.
        await asyncio.sleep(2.5)
    acknowledged = []
    writing = asyncio.create_task(write(deployment, record, acknowledged))
    await asyncio.sleep(WRITE_SECONDS)
    if fleet.HAS_TROUBLE:
        await deployment.crash(primary)
    await asyncio.sleep(PROMOTE_SECONDS)
    writing.cancel()
    leader = service.primary()
    if not leader.is_up:
        record.write('case', 'nobody was promoted')
        return []
    kept = {entry['ident'] for entry in leader.log}
    lost = [ident for ident in acknowledged if ident not in kept]
    record.write(
        leader.ident, 'log', leader.position, f'{len(lost)} commits lacking'
    )
    return [
        f'LOST: {leader.ident} was promoted without commit {ident}, '
        f'which was acknowledged'
        for ident in lost
    ]


async def write(deployment, record, acknowledged):
    """Write until cancelled, and note the ids of acknowledged writes."""
    client = fleet.Client(record, 'kiosk')
    await client.connect(deployment.front(0), 'strict')
    while True:
        ident, lines = await client.ask('WRITE renewal paid')
        if lines[0].startswith('COMPLETE'):
            acknowledged.append(ident)
        await asyncio.sleep(0.05)


if __name__ == '__main__':
    fleet.run_case(play, pathlib.Path(__file__).parent)
