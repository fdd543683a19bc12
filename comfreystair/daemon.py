"""The daemon: its composition root, its loops, its shutdown."""

import secrets
import signal
import sys
import time
from typing import Final

import click
import curio
from curio import socket, ssl
from loguru import logger

from comfreystair.callers.cancels import (
    CancelKeys,
    hash_instance,
    names_instance,
)
from comfreystair.callers.server import CallerServer
from comfreystair.callers.sessions import SessionContext
from comfreystair.callers.startup import LoginContext
from comfreystair.conf import Settings, SettingsError, load_settings
from comfreystair.conf.checks import LEVEL_ERROR, check_settings
from comfreystair.controllers.manifest_generation import (
    ManifestGenerationController,
)
from comfreystair.controllers.membership import (
    Contact,
    MembershipController,
    build_incarnation,
)
from comfreystair.controllers.rendezvous_ranks import RendezvousRanks
from comfreystair.controllers.limit_shares import LimitShareController
from comfreystair.dialing import build_dialer
from comfreystair.etcd import Store
from comfreystair.filters.chain import build_chain
from comfreystair.filters.context import FilterContext
from comfreystair.filters.rate_limiter import RateLimiter
from comfreystair.filters.scheduling import Scheduler
from comfreystair.fleet import (
    Gossiper,
    LimitShareCoordinator,
    ManifestUpdater,
    SlotLimitCoordinator,
    TokenLender,
)
from comfreystair.fleet.diagnostics import Diagnostics
from comfreystair.fleet.gossip import GossipState
from comfreystair.manifest.index import ManifestHolder, ManifestIndex
from comfreystair.observability.logs import configure_logs
from comfreystair.observability.metrics import Metrics
from comfreystair.observability.traces import Tracer
from comfreystair.peers import PeerClients, PeerError, PeerServer
from comfreystair.peers.messages import definitions
from comfreystair.peers.server import Method
from comfreystair.signals import SignalReader
from comfreystair.targets.groups import DatabaseGroup

EXIT_USAGE: Final = 2
_BACKLOG: Final = 1024
_METRICS_SECONDS: Final = 1.0
_SECRET_BYTES: Final = 8


class Daemon:
    """All parts of one instance, wired."""

    def __init__(self, settings: Settings) -> None:
        """Wire the parts; nothing is opened before :meth:`run`."""
        self._settings = settings
        instance = settings.instance
        own = Contact(
            instance.name,
            instance.zone,
            settings.peers.advertised
            or f'{instance.address}:{settings.peers.port}',
            build_incarnation(instance.name, time.time_ns()),
        )
        dial = build_dialer(instance.address)
        self._dial = dial
        platform = settings.platform
        statsd = settings.statsd
        self._store = Store(
            dial, platform.store, platform.prefix, platform.call_seconds
        )
        self._metrics = Metrics(statsd.host, statsd.port, statsd.prefix)
        self._tracer = Tracer(
            instance.name, settings.trace.sample_every, settings.trace.keep
        )
        self._holder = ManifestHolder()
        self._generations = ManifestGenerationController()
        self._membership = MembershipController(own)
        self._shares = LimitShareController(own.incarnation)
        self._ranks = RendezvousRanks(own.name)
        self._peers = PeerClients(
            dial, settings.peers.call_seconds, settings.peers.secret
        )
        self._follower = ManifestUpdater(
            self._generations,
            self._membership,
            self._store,
            self._peers,
            platform,
        )
        self._groups: dict[str, DatabaseGroup] = {}
        self._group_tasks: dict[str, curio.Task] = {}
        self._admission = RateLimiter(self._borrow)
        self._scheduler = Scheduler()
        self._gossiper = Gossiper(
            GossipState(
                self._membership,
                self._generations,
                self._shares,
                self._follower,
                self._groups,
                self._admission.list_surplus,
            ),
            self._peers,
            dial,
            settings.peers,
            platform,
        )
        self._lender = TokenLender(
            self._membership, self._gossiper, self._peers
        )
        self._share_keeper = LimitShareCoordinator(
            self._shares,
            self._membership,
            self._gossiper,
            self._store,
            self._peers,
            self._admission.set_share,
        )
        self._slot_keeper = SlotLimitCoordinator(
            self._membership, self._scheduler, self._holder, self._peers
        )
        self._cancel_keys = CancelKeys(instance.name, dial)
        self._callers = self._build_callers()
        self._inquiries = Diagnostics(
            self._membership,
            self._generations,
            self._shares,
            self._groups,
            self._callers,
            self._tracer,
            self._metrics,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        settings = self._settings
        peer_sock = _listen(settings.peers.host, settings.peers.port)
        peer_server = PeerServer(self._build_methods(), settings.peers.secret)
        loops = [
            await curio.spawn(peer_server.run, peer_sock, daemon=True),
            await curio.spawn(self._gossiper.poll_instance_list, daemon=True),
            await curio.spawn(self._gossiper.run, daemon=True),
            await curio.spawn(self._follower.watch, daemon=True),
            await curio.spawn(self._follower.poll_root, daemon=True),
            await curio.spawn(
                self._follower.apply_changes, self._apply, daemon=True
            ),
            await curio.spawn(self._share_keeper.run, daemon=True),
            await curio.spawn(self._slot_keeper.run, daemon=True),
            await curio.spawn(self._send_metrics, daemon=True),
            await curio.spawn(self._rank_often, daemon=True),
            await curio.spawn(self._callers.expire_often, daemon=True),
        ]
        caller_sock = _listen(settings.callers.host, settings.callers.port)
        accepting = await curio.spawn(
            self._callers.run, caller_sock, daemon=True
        )
        logger.info(
            'event=started zone={} callers={} peers={}',
            settings.instance.zone,
            settings.callers.port,
            settings.peers.port,
        )
        await SignalReader(signal.SIGTERM, signal.SIGINT).read()
        await self._shut_down(accepting, loops)

    async def _shut_down(
        self, accepting: curio.Task, loops: list[curio.Task]
    ) -> None:
        logger.info('event=draining callers={}', self._callers.connections)
        self._membership.mark_leaving()
        await accepting.cancel()
        cut = await self._callers.drain(self._settings.requests.drain_seconds)
        self._shares.relinquish()
        self._admission.set_share(0, time.monotonic())
        self._gossiper.record_terminated(self._membership.own.incarnation)
        async with curio.ignore_after(1):
            await self._gossiper.announce_shutdown()
        for loop in loops:
            await loop.cancel(blocking=False)
        for task in self._group_tasks.values():
            await task.cancel(blocking=False)
        await self._peers.close()
        logger.info('event=stopped cut={}', cut)

    def _build_callers(self) -> CallerServer:
        settings = self._settings
        parts = FilterContext(
            settings.instance.zone,
            settings.requests,
            self._holder,
            self._generations,
            self._groups,
            self._admission,
            self._scheduler,
            self._metrics,
            self._tracer,
            {},
        )
        handler = build_chain(settings.filters, parts)
        return CallerServer(
            SessionContext(handler, settings.callers, self._tracer),
            LoginContext(
                self._holder,
                self._cancel,
                secrets.token_bytes(_SECRET_BYTES),
                _build_tls(settings),
            ),
            self._cancel_keys,
        )

    def _build_methods(self) -> dict[str, Method]:
        async def give_chunk(request):
            found = self._follower.get_chunk(request.name)
            return definitions.Chunk(content=found or b'')

        async def give_root(_request):
            return self._follower.build_root_message()

        async def give_shares(request):
            return self._share_keeper.handle_request(request)

        async def lend(request):
            return self._lender.lend(self._admission, request)

        async def bound_demand(request):
            return self._slot_keeper.handle_request(request)

        async def cancel(request):
            await self._cancel_keys.cancel(
                request.process_id, bytes(request.secret_key)
            )
            return definitions.Empty()

        async def inquire(request):
            return definitions.Document(
                content=self._inquiries.get_document(request.subject)
            )

        return {
            'gossip': Method(definitions.Gossip, self._gossiper.handle),
            'chunk': Method(definitions.ChunkRequest, give_chunk),
            'root': Method(definitions.Empty, give_root),
            'shares': Method(definitions.Empty, give_shares),
            'lend': Method(definitions.LoanRequest, lend),
            'demand': Method(definitions.DemandRequest, bound_demand),
            'cancel': Method(definitions.CancelRequest, cancel),
            'inquire': Method(definitions.Inquiry, inquire),
        }

    async def _apply(self, index: ManifestIndex) -> None:
        """Put a manifest in force in every part."""
        now = time.monotonic()
        self._holder.replace(index)
        self._admission.apply(index, now)
        self._scheduler.apply(index)
        wanted = {database.name: database for database in index.databases}
        self._ranks.retain_subjects(wanted)
        for gone in self._groups.keys() - wanted.keys():
            self._groups.pop(gone)
            await self._group_tasks.pop(gone).cancel(blocking=False)
        for name, database in wanted.items():
            if name in self._groups:
                await self._groups[name].apply(database)
            else:
                await self._add_group(database)
        self._rank()

    async def _add_group(self, database) -> None:
        group = DatabaseGroup(
            database,
            self._settings.targets,
            self._membership.own.incarnation,
            self._dial,
        )
        self._groups[database.name] = group
        self._group_tasks[database.name] = await curio.spawn(
            group.run, daemon=True
        )

    def _rank(self) -> None:
        live = self._membership.list_live(time.monotonic())
        self._ranks.set_members(contact.name for contact in live)
        for name, group in self._groups.items():
            group.set_fleet(self._ranks.find_rank(name), self._ranks.total)

    async def _rank_often(self) -> None:
        while True:
            self._rank()
            await curio.sleep(_METRICS_SECONDS)

    async def _send_metrics(self) -> None:
        while True:
            await curio.sleep(_METRICS_SECONDS)
            self._metrics.gauge('callers', self._callers.connections)
            self._metrics.gauge('share', self._shares.share)
            self._metrics.gauge(
                'generation', self._generations.applied.generation
            )
            self._metrics.send()

    async def _borrow(self, organisation: str, wanted: float) -> float:
        return await self._lender.borrow(organisation, wanted)

    async def _cancel(self, process_id: int, secret_key: bytes) -> None:
        """Cancel here, or at the daemon that gave the process id out."""
        if self._cancel_keys.is_own(process_id):
            await self._cancel_keys.cancel(process_id, secret_key)
            return
        request = definitions.CancelRequest(
            process_id=process_id, secret_key=secret_key
        )
        for contact in self._membership.list_peers():
            if names_instance(process_id, hash_instance(contact.name)):
                try:
                    await self._peers.call(
                        contact.address, 'cancel', request, definitions.Empty
                    )
                except PeerError as error:
                    logger.debug('event=cancel_failed error="{}"', error)


def _listen(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(_BACKLOG)
    return sock


def _build_tls(settings: Settings):
    callers = settings.callers
    if not callers.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(callers.certificate, callers.private_key)
    return context


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    help='Settings file in JSON; see docs/ref/settings.md.',
)
def main(path: str) -> None:
    """Serve callers on this instance until SIGTERM."""
    try:
        settings = load_settings(path)
    except SettingsError as error:
        click.echo(f'comfreystaird: {error}', err=True)
        sys.exit(EXIT_USAGE)
    findings = check_settings(settings)
    for found in findings:
        click.echo(
            f'{found.ident} {found.level}: {found.message} ({found.hint})',
            err=True,
        )
    if any(found.level == LEVEL_ERROR for found in findings):
        sys.exit(EXIT_USAGE)
    configure_logs(settings.log.level, settings.instance.name)
    curio.run(Daemon(settings).run)


if __name__ == '__main__':
    main()
