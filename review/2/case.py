"""A statement whose last field holds a line feed without a carriage return."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import fleet

SMUGGLED = 'feedfacefeedfac'
BREAK = '\n' if fleet.HAS_TROUBLE else ' '


async def play(record):
    """Send the same statements to each entry process."""
    deployment = fleet.Fleet(record)
    await deployment.start()
    try:
        findings = []
        for number in range(3):
            findings += await play_note(deployment, record, number)
            findings += await play_packet(deployment, record, number)
        findings += await play_row(deployment, record)
        return findings
    finally:
        await deployment.stop()


async def play_note(deployment, record, number):
    """Write a note of two lines."""
    client = fleet.Client(record, f'clerk-{number}')
    await client.connect(deployment.front(number), 'strict')
    await client.ask(f'WRITE note-{number} guitar,{BREAK}amplifier', 3)
    client.close()
    await asyncio.sleep(0.2)
    return check_runs(deployment.service, client)


async def play_packet(deployment, record, number):
    """Send a packet that hides a second statement in the first one's data."""
    client = fleet.Client(record, f'rude-{number}')
    await client.connect(deployment.front(number), 'strict')
    smuggled = f'{SMUGGLED}{number}'
    hidden = f'QUERY {smuggled} WRITE badge-{number} renewed'
    await client.ask(f'WRITE memo-{number} x{BREAK}{hidden}', 3)
    client.close()
    await asyncio.sleep(0.2)
    return check_runs(deployment.service, client, smuggled)


async def play_row(deployment, record):
    """Read a text of several lines, which another program has stored.

    Then other clients read an item that nobody has written.
    """
    service = deployment.service
    text = BREAK.join(('Dear clerk,', 'COMPLETE -', 'READY I 1.1', 'ROW Rosa'))
    await service.commit(service.primary(), 'stored', {'letter': text})
    findings = []
    for number in range(3):
        for item, row in (('letter', text), ('pitch', 'nothing')):
            client = fleet.Client(record, f'{item}-reader-{number}')
            await client.connect(deployment.front(number), 'strict')
            ident, lines = await client.ask(f'READ {item}', 3)
            client.close()
            rows = [one[4:] for one in lines if one.startswith('ROW ')]
            is_done = any(one.startswith('COMPLETE') for one in lines)
            if is_done and rows != [row]:
                findings.append(
                    f'MIXED: {client.name} was told {lines} for {ident}, '
                    f'the row is {row!r}'
                )
    return findings


def check_runs(service, client, smuggled=''):
    """Return what ran and was sent by nobody, or with another text."""
    findings = []
    for run in service.runs:
        ran = f'{run.word} {run.text}'
        if run.ident == smuggled:
            findings.append(
                f'UNASKED: {run.target} ran {ran!r} as a statement of its '
                f'own, which was data inside another one'
            )
        elif run.ident in client.sent and ran != client.sent[run.ident]:
            findings.append(
                f'UNASKED: {client.name} sent {client.sent[run.ident]!r}, '
                f'{run.target} ran {ran!r}'
            )
    return findings


if __name__ == '__main__':
    fleet.run_case(play, pathlib.Path(__file__).parent)
