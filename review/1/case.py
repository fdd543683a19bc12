"""An item that is named like one of the session's prepared statements."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import fleet

PREPARED = 'badge'
ITEM = PREPARED if fleet.HAS_TROUBLE else 'plaza'


async def play(record):
    """Prepare a statement, then read and write an item directly."""
    deployment = fleet.Fleet(record)
    await deployment.start()
    try:
        findings = []
        for number in range(3):
            findings += await play_session(deployment, record, number)
        return findings
    finally:
        await deployment.stop()


async def play_session(deployment, record, number):
    """Talk to one entry process; return what broke the rule there."""
    client = fleet.Client(record, f'client-{number}')
    await client.connect(deployment.front(number), 'strict')
    told = {}

    async def ask(text):
        ident, lines = await client.ask(text)
        told[ident] = lines
        await asyncio.sleep(0.05)
        return lines

    await ask(f'PREPARE {PREPARED} READ q2c')
    await ask(f'WRITE {ITEM} paid-{number}')
    await ask(f'READ {ITEM}')
    await ask(f'PREPARE {PREPARED} WRITE q7f')
    await ask(f'READ {ITEM}')
    client.close()
    return [
        *check_runs(deployment.service, client),
        *check_writes(deployment.service, client, told),
    ]


def check_runs(service, client):
    """Return the statements that ran with another text than was sent."""
    findings = []
    for run in service.runs:
        text = client.sent.get(run.ident)
        if text is None:
            continue
        sent_word, _, sent_rest = text.partition(' ')
        if run.word != sent_word or run.text != sent_rest:
            findings.append(
                f'UNASKED: {client.name} sent {text!r}, {run.target} ran '
                f'{run.word} of {run.shape!r} with {run.text!r}'
            )
    return findings


def check_writes(service, client, told):
    """Return the writes that were reported as done and are in no log."""
    kept = {
        entry['ident']
        for database in service.databases.values()
        for entry in database.log
    }
    return [
        f'{client.name} was told {lines[0]!r} for {client.sent[ident]!r}, '
        f'which no database has written'
        for ident, lines in told.items()
        if client.sent[ident].startswith('WRITE')
        and any(line.startswith('COMPLETE') for line in lines)
        and ident not in kept
    ]


if __name__ == '__main__':
    fleet.run_case(play, pathlib.Path(__file__).parent)
