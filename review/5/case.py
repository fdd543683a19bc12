"""Bytes that can't be read stand among the databases' entries.

Then the primary is replaced, as in a release.
"""

import asyncio
import base64
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import fleet

DEPTH = 4000
DRAIN_SECONDS = 7.0
# How much longer a drained database stays before it ends.
LINGER_SECONDS = 3.0
RECOVER_SECONDS = 12.0
AFTER_SECONDS = 20.0


async def play(record):
    """Write a foreign entry, release the primary, and count writes."""
    deployment = fleet.Fleet(record)
    await deployment.start()
    sent = []
    loads = [
        asyncio.create_task(write(deployment, record, number, sent))
        for number in range(3)
    ]
    try:
        return await play_release(deployment, record, sent)
    finally:
        for load in loads:
            load.cancel()
        await deployment.stop()


async def play_release(deployment, record, sent):
    """Return what broke the rules after the release."""
    await asyncio.sleep(2)
    if fleet.HAS_TROUBLE:
        put_foreign_entry(deployment.store)
        record.write('platform', 'foreign entry', f'{DEPTH} nested lists')
    await asyncio.sleep(4)
    began_at = time.monotonic()
    if not any(served for _at, served in sent):
        raise RuntimeError('nothing is served before the release')
    primary = deployment.service.primary()
    primary.is_draining = True
    # The store has the report with the next heartbeat.
    await asyncio.sleep(0.5)
    record.write(primary.ident, 'draining', 'acknowledged by the store')
    drained_at = time.monotonic()
    await asyncio.sleep(DRAIN_SECONDS + LINGER_SECONDS)
    late = [
        run
        for run in deployment.service.runs
        if run.target == primary.ident
        if run.ident != '-' and run.at > drained_at + DRAIN_SECONDS
    ]
    await deployment.crash(primary)
    ended_at = time.monotonic()
    await asyncio.sleep(AFTER_SECONDS)
    record.write('platform', 'promotions', f'{deployment.service.promotions}')
    later = [served for at, served in sent if at > ended_at + RECOVER_SECONDS]
    before = [served for at, served in sent if at < began_at]
    record.write('kiosks', 'before', f'{sum(before)} of {len(before)} served')
    record.write('kiosks', 'after', f'{sum(later)} of {len(later)} served')
    findings = []
    if late:
        findings.append(
            f'DRAIN: {len(late)} statements ran at {primary.ident} later than '
            f'{DRAIN_SECONDS:.0f} s after the store had its report'
        )
    if 4 * sum(later) < len(later):
        findings.append(
            f'RECOVER: {sum(later)} of {len(later)} writes are served that '
            f'were sent later than {RECOVER_SECONDS:.0f} s after the release'
        )
    return findings


def put_foreign_entry(store):
    """Write what no reader of JSON reads, as another writer's entry."""
    blob = b'{"Labels":' + b'[' * DEPTH
    store.put_raw('servers/x-5d1f', base64.b64encode(blob).decode())


async def write(deployment, record, number, sent):
    """Send a write now and then, and note when and whether it was served."""
    client = None
    while True:
        at = time.monotonic()
        try:
            if client is None:
                client = fleet.Client(record, f'kiosk-{number}')
                await client.connect(deployment.front(number), 'strict')
            _ident, lines = await client.ask(f'WRITE badge-{number} paid')
        except (OSError, EOFError):
            lines = ['']
        sent.append((at, lines[0].startswith('COMPLETE')))
        if client is not None and not lines[-1]:
            client.close()
            client = None
        await asyncio.sleep(0.2)


if __name__ == '__main__':
    fleet.run_case(play, pathlib.Path(__file__).parent)
