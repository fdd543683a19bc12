"""Measure what control costs as the fleet grows.

``python -m standins.capacity --help``. Real controllers and codecs run at
growing sizes; a line is fitted to each series, and the budgets of the size to
design for are judged by it.
"""

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import NamedTuple

import click
import msgspec

from comfreystair.controllers.acknowledgements import evaluate_commit
from comfreystair.controllers.group_failover import (
    FailoverController,
    FailoverSettings,
    GroupMember,
)
from comfreystair.controllers.limit_shares import Epoch, split_units
from comfreystair.controllers.membership import (
    Contact,
    MembershipController,
    build_incarnation,
    rank_by_rendezvous_hash,
)
from comfreystair.controllers.positions import Position, TargetStatus
from comfreystair.controllers.quorum_positions import QuorumPositionTracker
from comfreystair.controllers.rendezvous_ranks import RendezvousRanks
from comfreystair.controllers.token_lending import LendingTokenBucket
from comfreystair.manifest import (
    Manifest,
    Root,
    decode_manifest,
    join_chunks,
    split_manifest,
)
from comfreystair.manifest.chunks import encode_root
from comfreystair.manifest.index import ManifestIndex
from comfreystair.peers import messages
from comfreystair.peers.messages import definitions
from standins.budgets import judge_budgets

REPEATS = 5
SIZES = (100, 200, 400, 800)
FLEETS = (16, 100, 400, 1600)
MICROSECONDS = 1000000


class Slope(NamedTuple):
    """A line fitted to a series.

    :param each: cost for each further unit.
    :param fixed: cost at size zero.
    :param spread: largest distance of a point from the line, as a share.
    """

    name: str
    unit: str
    each: float
    fixed: float
    spread: float


def fit(name: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    """Fit a line by least squares."""
    count = len(points)
    mean_x = sum(x for x, _y in points) / count
    mean_y = sum(y for _x, y in points) / count
    variance = sum((x - mean_x) ** 2 for x, _y in points)
    shared = sum((x - mean_x) * (y - mean_y) for x, y in points)
    each = shared / variance
    fixed = mean_y - each * mean_x
    spread = max(
        abs(y - fixed - each * x) / max(abs(y), 1e-9) for x, y in points
    )
    return Slope(name, unit, each, fixed, round(spread, 3))


def time_call(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the shortest of some times of a call, in microseconds."""
    best = float('inf')
    for _ in range(repeats):
        started = time.process_time()
        call()
        best = min(best, time.process_time() - started)
    return best * MICROSECONDS


def build_contact(number: int) -> Contact:
    """Build one daemon's contact."""
    name = f'entry-{number:05}'
    return Contact(
        name,
        f'zone-{number % 25}',
        f'10.{number % 250}.{number // 250}.7:7000',
        build_incarnation(name, 1700000000000000000 + number),
    )


def build_manifest(databases: int) -> bytes:
    """Build a manifest of as many databases, organisations and services."""
    document = {
        'version': 1,
        'deployment': 'large',
        'databases': [
            {
                'name': f'db-{number:05}',
                'targets': [
                    {
                        'name': f'db-{number:05}-{index}',
                        'address': f'10.{index}.{number // 250}.9:5432',
                        'zone': f'zone-{(number + index) % 25}',
                        'slots': 2,
                        'connections': 35,
                    }
                    for index in range(3)
                ],
            }
            for number in range(databases)
        ],
        'organisations': [
            {
                'name': f'org-{number:05}',
                'rate': 50,
                'burst': 20,
                'salt': 'c2FsdHNhbHRzYWx0c2FsdA==',
                'keys': [
                    {
                        'id': f'{number:x}',
                        'stored_key': f'{number:043}=',
                        'server_key': f'{number:043}=',
                    }
                ],
            }
            for number in range(databases)
        ],
        'services': [
            {
                'name': f'service-{number:05}',
                'database': f'db-{number:05}',
                'organisations': [f'org-{number:05}'],
            }
            for number in range(databases)
        ],
    }
    return msgspec.json.encode(document)


def measure_manifest() -> list[Slope]:
    """Measure size, change and application of a manifest."""
    sizes, changed, applied, roots, memory = [], [], [], [], []
    for count in SIZES:
        content = build_manifest(count)
        chunks = split_manifest(content)
        other = content.replace(b'"rate":50', b'"rate":51', 1)
        fresh = split_manifest(other)
        new = [fresh[name] for name in fresh.keys() - chunks.keys()]
        root = Root(1, tuple(fresh))
        sizes.append((count, sum(map(len, chunks.values()))))
        changed.append((count, sum(map(len, new))))
        roots.append((count, len(encode_root(root))))
        applied.append((count, time_call(lambda: apply(root, fresh))))
        memory.append((count, measure_memory(lambda: apply(root, fresh))))
    return [
        fit('manifest in the store', 'bytes a database', sizes),
        fit('chunks changed by one entry', 'bytes a database', changed),
        fit('root', 'bytes a database', roots),
        fit('applying a manifest', 'us a database', applied),
        fit('manifest in memory', 'bytes a database', memory),
    ]


def apply(root: Root, chunks: dict[str, bytes]) -> tuple[Manifest, object]:
    """Put a manifest together and index it, as a daemon does."""
    manifest = decode_manifest(join_chunks(root, chunks))
    return manifest, ManifestIndex(1, manifest)


def measure_memory(build: Callable[[], object]) -> int:
    """Return the bytes that what is built occupies."""
    tracemalloc.start()
    kept = build()
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def build_gossip(members: int, organisations: int) -> object:
    """Build a message with as many members and surpluses."""
    return definitions.Gossip(
        sender=encode_contact(build_contact(0)),
        members=[
            encode_contact(build_contact(number))
            for number in range(1, members + 1)
        ],
        manifest=definitions.ManifestState(generation=5, confirmed_age_ms=300),
        epoch=3,
        is_settled=True,
        dead=[],
        views=[],
        surplus={
            f'org-{number:05}': number / 3 for number in range(organisations)
        },
    )


def encode_contact(contact: Contact) -> object:
    """Encode a contact as gossip does."""
    return definitions.Contact(
        zone=contact.zone,
        address=contact.address,
        incarnation=contact.incarnation,
        is_leaving=False,
        age_ms=1234,
        epoch=3,
    )


def measure_gossip() -> list[Slope]:
    """Measure the bytes and the time of gossip messages."""
    by_members, by_surplus, codec = [], [], []
    for count in (2, 4, 8, 16):
        message = build_gossip(count, 0)
        wire = messages.encode(message)
        by_members.append((count, len(wire)))
        surplus = messages.encode(build_gossip(0, count))
        by_surplus.append((count, len(surplus)))
        codec.append((count, time_call(lambda: recode(message, 200)) / 200))
    return [
        fit('gossip message', 'bytes a member', by_members),
        fit('gossip surplus', 'bytes an organisation', by_surplus),
        fit('gossip coding, both ways', 'us a member', codec),
    ]


def recode(message: object, times: int) -> None:
    """Encode and decode a message."""
    for _ in range(times):
        wire = messages.encode(message)
        messages.decode(definitions.Gossip, wire)


def measure_membership() -> list[Slope]:
    """Measure what knowing many daemons costs."""
    listing, memory, shares = [], [], []
    for count in FLEETS:
        known = build_membership(count)
        listing.append((count, time_call(lambda: known.list_live(1))))
        memory.append((count, measure_memory(lambda: build_membership(count))))
        holders = [build_contact(one).incarnation for one in range(count)]
        units = split_units(holders)
        epoch = Epoch(3, units, {}, is_settled=True)
        shares.append((count, len(msgspec.json.encode(epoch))))
    return [
        fit('listing live daemons', 'us a daemon', listing),
        fit('members in memory', 'bytes a daemon', memory),
        fit('epoch of shares', 'bytes a daemon', shares),
    ]


def build_membership(count: int) -> MembershipController:
    """Build a controller that heard of many daemons."""
    known = MembershipController(build_contact(0))
    for number in range(1, count):
        known.record_message(build_contact(number), 0.5)
    return known


def measure_ranks() -> list[Slope]:
    """Measure ranking anew and step by step, for each database."""
    anew, stepwise = [], []
    names = [build_contact(number).name for number in range(400)]
    for count in SIZES:
        subjects = [f'db-{number:05}' for number in range(count)]
        anew.append((count, time_call(lambda: rank_anew(subjects, names), 2)))
        ranks = RendezvousRanks(names[0])
        ranks.set_members(names)
        for subject in subjects:
            ranks.find_rank(subject)
        stepwise.append((count, time_call(lambda: step_ranks(ranks, names))))
    return [
        fit('ranking 400 daemons anew', 'us a database', anew),
        fit('rank after one change', 'us a database', stepwise),
    ]


def rank_anew(subjects: list[str], names: list[str]) -> None:
    """Rank all daemons for every database."""
    for subject in subjects:
        rank_by_rendezvous_hash(subject, names)


def step_ranks(ranks: RendezvousRanks, names: list[str]) -> None:
    """Let one daemon go and come back; this is two changes."""
    ranks.set_members(names[:-1])
    ranks.set_members(names)


def measure_groups() -> list[Slope]:
    """Measure observing a database and judging commits."""
    ticks, judged, memory = [], [], []
    for count in SIZES:
        groups = [build_group() for _ in range(count)]
        ticks.append((count, time_call(lambda: tick_groups(groups))))
        judged.append((count, time_call(lambda: judge_often(count))))
        memory.append(
            (
                count,
                measure_memory(lambda: [build_group() for _ in range(count)]),
            )
        )
    return [
        fit('status and tick of a group', 'us a database', ticks),
        fit('judging a commit', 'us a commit', judged),
        fit('group in memory', 'bytes a database', memory),
    ]


def build_group() -> tuple[FailoverController, QuorumPositionTracker]:
    """Build the controllers of one database."""
    members = tuple(
        GroupMember(f't{index}', f'10.0.0.{index}:1') for index in range(3)
    )
    controller = FailoverController(
        members, FailoverSettings(0.3, 1.5, 0.06), 'c'
    )
    floors = QuorumPositionTracker()
    tick_groups([(controller, floors)])
    return controller, floors


def tick_groups(groups: list) -> None:
    """Show three statuses to each group and let it tick once."""
    for controller, floors in groups:
        for index in range(3):
            controller.record_status(f't{index}', build_status(index), 1)
        floors.refresh(controller.observations, 2)
        controller.tick(1, 0.5)


def build_status(index: int) -> TargetStatus:
    """Build the status of a healthy target."""
    role = 'replica' if index else 'primary'
    end = Position(1, 100)
    return TargetStatus(role, 1, 1, end, end, 0.01, '10.0.0.0:1')


def judge_often(times: int) -> None:
    """Judge a commit by three statuses."""
    statuses = [build_status(index) for index in range(3)]
    for _ in range(times):
        evaluate_commit(Position(1, 90), statuses, 2)


def measure_buckets() -> list[Slope]:
    """Measure the buckets of many organisations."""
    taken, memory = [], []
    for count in SIZES:
        buckets = [LendingTokenBucket(50, 20, 0) for _ in range(count)]
        chooser = random.Random(1)
        taken.append((count, time_call(lambda: use_buckets(buckets, chooser))))
        memory.append(
            (
                count,
                measure_memory(
                    lambda: [
                        LendingTokenBucket(50, 20, 0) for _ in range(count)
                    ]
                ),
            )
        )
    return [
        fit('admitting and lending', 'us an organisation', taken),
        fit('bucket in memory', 'bytes an organisation', memory),
    ]


def use_buckets(
    buckets: list[LendingTokenBucket], chooser: random.Random
) -> None:
    """Admit one request and lend once at each bucket."""
    for bucket in buckets:
        now = chooser.random()
        bucket.record_arrival(now)
        bucket.take(now)
        bucket.lend(1, now)


def measure_all() -> list[Slope]:
    """Return every slope."""
    return [
        *measure_manifest(),
        *measure_gossip(),
        *measure_membership(),
        *measure_ranks(),
        *measure_groups(),
        *measure_buckets(),
    ]


@click.command()
@click.option('--json', 'is_json', is_flag=True)
def main(is_json: bool) -> None:
    """Print slopes with their spread, and a verdict for each budget."""
    slopes = {slope.name: slope for slope in measure_all()}
    verdicts = judge_budgets(slopes)
    if is_json:
        found = {
            'slopes': [slope._asdict() for slope in slopes.values()],
            'budgets': [verdict._asdict() for verdict in verdicts],
        }
        click.echo(json.dumps(found, indent=2))
        return
    click.echo(f'{"slope":<30} {"each":>10} {"fixed":>12} {"spread":>7}  unit')
    for slope in slopes.values():
        click.echo(
            f'{slope.name:<30} {slope.each:>10.3f} {slope.fixed:>12.1f} '
            f'{slope.spread:>7.1%}  {slope.unit}'
        )
    click.echo('')
    for verdict in verdicts:
        click.echo(
            f'{verdict.name:<44} {verdict.found:>12.2f} of '
            f'{verdict.bound:>8.2f} {verdict.unit:<12} {verdict.word}'
        )


if __name__ == '__main__':
    main()
