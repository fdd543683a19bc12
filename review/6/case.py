"""A commit that only an unlisted replica has received is lost."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

# One replica is cut off from the store this often, each time for the length
# that the bench's kinds give (5 s), with this pause between, in seconds.
CUTS = 2
CUT_SECONDS = 5.0
CUT_PAUSE_SECONDS = 0.2
# From the start of the cuts: the other replica receives nothing from then on,
# and then the primary crashes, in seconds.
DEAF_AT_SECONDS = 8.9
CRASH_AT_SECONDS = 9.2


async def write(site, instance, acknowledged):
    """Send writes to an instance until the end; keep what is acknowledged."""
    number = 0
    while True:
        client = harness.Client(site, instance, 'strict', 'key-blue')
        try:
            await client.open()
            lines = ['']
            while lines:
                number += 1
                item = f'{instance.name}-{number}'
                _ident, lines = await client.ask(f'WRITE {item} {number}')
                if lines and lines[0].startswith('COMPLETE'):
                    acknowledged[item] = (harness.now(), str(number))
                await asyncio.sleep(0.05)
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.1)
        finally:
            client.close()


async def cut(site, target):
    """Cut a target off from the store, again and again."""
    for number in range(CUTS):
        target.is_cut_from_store = True
        site.record.write('cut_from_store', target=target.ident)
        await asyncio.sleep(CUT_SECONDS)
        target.is_cut_from_store = False
        site.record.write('cut_over', target=target.ident, number=number + 1)
        await asyncio.sleep(CUT_PAUSE_SECONDS)


async def case(site):
    """Return why the rule was broken, or nothing."""
    acknowledged = {}
    await site.start(harness.build_plan(sync_replicas=1))
    for instance in site.instances:
        site.spawn(write(site, instance, acknowledged))
    await asyncio.sleep(7)
    targets = site.group.targets
    written_at = targets['i-two'].written_at
    while targets['i-two'].written_at == written_at:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    began_at = harness.now()
    if harness.has_trouble:
        site.spawn(cut(site, targets['i-two']))
        await asyncio.sleep(began_at + DEAF_AT_SECONDS - harness.now())
        targets['i-three'].is_deaf = True
        site.record.write('receives_nothing', target='i-three')
    await asyncio.sleep(began_at + CRASH_AT_SECONDS - harness.now())
    if harness.has_trouble:
        site.group.crash(targets['i-one'])
    await asyncio.sleep(5)
    primary = site.group.primary
    if primary.ident == 'i-one' and harness.has_trouble:
        return ''
    kept = {pair for entry in primary.log for pair in entry.writes}
    lost = [
        (at, item)
        for item, (at, data) in acknowledged.items()
        if at < harness.now() - 1 and (item, data) not in kept
    ]
    if not lost:
        return ''
    return (
        f'{len(lost)} acknowledged commits, from {lost[0][0]:.3f} to '
        f'{lost[-1][0]:.3f}, are not in the log of {primary.ident}, which was '
        f'promoted'
    )


if __name__ == '__main__':
    harness.main(FOLDER, case)
