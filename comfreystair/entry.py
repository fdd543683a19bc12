"""An entry instance on the users' platform: composition, start, shutdown."""

import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Final

import curio
from curio import socket
from loguru import logger

from comfreystair.clocks import read_clock
from comfreystair.conf.checks import LEVEL_ERROR
from comfreystair.conf.entry import (
    EntrySettings,
    check_entry_settings,
    load_entry_settings,
)
from comfreystair.controllers.connections.retry_budget import RetryBudget
from comfreystair.controllers.membership import build_incarnation
from comfreystair.controllers.places.evacuation import Evacuations
from comfreystair.coordination import cold_targets
from comfreystair.coordination.contacts import ContactExchange
from comfreystair.coordination.durable_logs import LostLogSettler
from comfreystair.coordination.evacuations import EvacuationKeys
from comfreystair.coordination.failover import FailoverCoordinator
from comfreystair.coordination.failover_notices import FailoverNotices
from comfreystair.coordination.heartbeat import Heartbeat
from comfreystair.coordination.jitter import add_jitter
from comfreystair.coordination.keeper_election import KeeperElection
from comfreystair.coordination.plan_cache import PlanCache
from comfreystair.coordination.position_sampler import PositionSampler
from comfreystair.coordination.primary_monitor import PrimaryMonitor
from comfreystair.coordination.proofs import ProofExchange
from comfreystair.coordination.rate_limiter import RateLimiter, TokenKeeper
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.service_discovery import ServiceDiscovery
from comfreystair.coordination.restorable_store import RestorableStore
from comfreystair.coordination.state import FleetState
from comfreystair.coordination.target_prober import TargetProber
from comfreystair.dialing import build_dialer
from comfreystair.exceptions import ComfreystairError
from comfreystair.gateways import GatewayClient, GatewaySelector, GatewayService
from comfreystair.listening import accept_connections, find_most_callers
from comfreystair.observability.admission import AdmissionReport
from comfreystair.observability.counters import Counters
from comfreystair.observability.decisions import DecisionLog
from comfreystair.observability.pages import serve_pages
from comfreystair.peers import PeerClients, PeerServer
from comfreystair.peers.messages import definitions
from comfreystair.peers.server import Method
from comfreystair.platform.callers import serve_caller, turn_away
from comfreystair.platform.documents import (
    EVACUATIONS_PREFIX,
    PLAN_KEY,
    TARGETS_PREFIX,
    check_evacuation,
    parse_plan,
    parse_target,
)
from comfreystair.platform.http import HttpClient
from comfreystair.platform.promotion import Promoter
from comfreystair.platform.store import Store
from comfreystair.platform.targets import TargetConnection, open_target
from comfreystair.pooling.local_execution import LocalExecutor
from comfreystair.pooling.manager import PoolManager
from comfreystair.pooling.priority_semaphore import find_semaphore_builder
from comfreystair.pooling.targets import TargetEntry
from comfreystair.sessions.attempts import AttemptRunner, RetryControl
from comfreystair.sessions.execution import StatementExecutor
from comfreystair.sessions.manager import SessionManager
from comfreystair.sessions.target_selector import TargetSelector
from comfreystair.sessions.transactions import TransactionManager
from comfreystair.signals import SignalReader
from comfreystair.tasks import run_supervised

SETTINGS_VARIABLE: Final = 'COMFREYSTAIR_SETTINGS'
EXIT_USAGE: Final = 2
_BACKLOG: Final = 512
# Bounds on one call, in seconds: the store answers in milliseconds.
_STORE_SECONDS: Final = 0.6
_PROMOTE_SECONDS: Final = 1.0
_PEER_SECONDS: Final = 0.5
# Unacknowledged bytes on a connection for this long mean that it is silent.
_SILENCE_MILLISECONDS: Final = 2000
# Sessions at rest are closed over this span of a shutdown, in seconds.
_CLOSE_SECONDS: Final = 1.5
# New callers may still come for this long after readiness is withdrawn, in
# seconds: the platform asks once a second and needs two misses.
_ROTATION_SECONDS: Final = 2.6
# Kept of a shutdown's time for giving duties back, in seconds.
_LEAVE_SECONDS: Final = 0.8
_STEP_SECONDS: Final = 0.1
# Bound on the last call of a shutdown, in seconds.
_LAST_CALL_SECONDS: Final = 0.3
# After its start an instance takes no keeper's duty this long, in seconds: all
# start at once and would each try, before the second reading of the lists.
_SETTLE_SECONDS: Final = 1.2
# An instance that was asked to work at a target keeps its connections there
# this long, in seconds, though it is no gateway.
_STAND_IN_SECONDS: Final = 2.0
# A transaction of another instance's caller is rolled back this long after
# that instance should have done so, in seconds.
_LEFT_SECONDS: Final = 1.0
# The organisation that questions about a target's status are asked for.
_PROBE_NAME: Final = 'comfreystair'
# After how long a caller that was turned away should come back, in seconds.
_FULL_RETRY_SECONDS: Final = 1.0
_OK: Final = 200
_NOT_READY: Final = 503


class EntryInstance:
    """All parts of one instance, wired."""

    def __init__(self, settings: EntrySettings) -> None:
        """Wire the parts; nothing is opened before :meth:`run`."""
        self._settings = settings
        instance = settings.instance
        self._log = DecisionLog(instance.name, sys.stdout.fileno())
        logger.add(self._log.write_message, level='INFO', format='{message}')
        own = InstanceRecord(
            instance.name,
            instance.zone,
            f'{instance.address}:{settings.listen.peer_port}',
            build_incarnation(instance.name, time.time_ns()),
            needs_contact=len(settings.zones) > 1,
        )
        self._state = FleetState(own, settings.zones)
        if settings.evacuation_seconds:
            self._state.evacuations = Evacuations(
                settings.zones, settings.evacuation_seconds
            )
        self._state.cold_bounds = settings.cold_bounds
        self._log_cold = cold_targets.build_change_logger(
            self._state, self._log
        )
        self._dial = _bound_silence(build_dialer(instance.address))
        era = self._state.store_era
        era.add_listener(self._log_era)
        store = RestorableStore(
            Store(
                HttpClient(self._dial, settings.store.address),
                _STORE_SECONDS,
                era.observe,
            ),
            era,
        )
        self._peers = PeerClients(self._dial, _PEER_SECONDS, '')
        self._store = store
        self._plans = PlanCache(self._state, parse_plan, self._log)
        self._evacuations = EvacuationKeys(
            self._state, EVACUATIONS_PREFIX, check_evacuation, self._log
        )
        self._exchange = ProofExchange(
            self._state,
            self._plans,
            self._peers,
            lambda: store.read(PLAN_KEY),
            self._evacuations,
            self._log,
        )
        self._pulse = Heartbeat(
            self._state,
            store,
            PLAN_KEY,
            self._plans,
            self._exchange,
            self._evacuations,
            self._log,
        )
        self._contacts = ContactExchange(
            self._state, self._peers, self._pulse.is_registered
        )
        self._directory = ServiceDiscovery(
            self._state,
            store,
            TARGETS_PREFIX,
            parse_target,
            self._exchange,
            self._peers,
            self._log,
        )
        zones = tuple(settings.zones)
        self._keeper = TokenKeeper(
            self._state,
            len(zones),
            cold_targets.build_limit_finder(self._state, zones),
        )
        self._duty = KeeperElection(
            self._state,
            store,
            self._peers,
            self._keeper,
            self._log,
            _SETTLE_SECONDS,
        )
        promoter = Promoter(
            HttpClient(self._dial, settings.promotion.address),
            instance.name,
            _PROMOTE_SECONDS,
        )
        probes = TargetProber(self._state, self._open_probe, self._log)
        self._notices = FailoverNotices(
            self._state,
            self._peers,
            self._pulse.refresh_now,
            self._exchange.list_followers,
        )
        changes = FailoverCoordinator(
            self._state,
            store,
            probes,
            self._notices,
            promoter.promote,
            self._log,
        )
        self._leaders = PrimaryMonitor(
            self._state,
            changes,
            probes,
            self._notices,
            self._pulse.refresh_now,
            self._log,
        )
        self._lost_logs = LostLogSettler(self._state, store, probes, self._log)
        self._counters = Counters()
        self._admission_report = AdmissionReport(self._log)
        self._board = PoolManager(
            instance.zone,
            self._open,
            self._may_send,
            find_semaphore_builder(
                settings.overload.has_priority_admission,
                self._admission_report,
            ),
            cold_targets.build_end_recorder(self._state),
        )
        self._placement = TargetSelector(
            self._state,
            self._board,
            self._pulse.refresh_now,
            lambda: self._pulse.is_reached,
            PositionSampler(self._state, probes).request,
        )
        self._book = GatewaySelector(
            self._state,
            self._peers,
            settings.overload.has_connection_shares,
        )
        self._retry_budget = RetryBudget(read_clock())
        self._rate_limiter = RateLimiter(
            self._state, self._peers, zones, self._log
        )
        self._local = LocalExecutor(
            self._board,
            self._log,
            cold_targets.build_permit_renewer(
                self._state, self._rate_limiter, zones, self._counters
            ),
        )
        self._callers = 0
        self._most_callers = find_most_callers(settings.limits.descriptors)
        self._desk = self._build_desk()

    async def run(self) -> None:
        """Serve until SIGTERM, then let the sessions end."""
        settings = self._settings
        listen = settings.listen
        host = settings.instance.address
        self._log.write('start', zone=settings.instance.zone)
        peer_server = PeerServer(self._build_methods(), '')
        await _spawn(run_supervised, self._log.run)
        await _spawn(peer_server.run, _listen(f'{host}:{listen.peer_port}'))
        ready = _listen(listen.ready)
        await _spawn(serve_pages, ready, self._show_ready)
        metrics = _listen(f'{host}:{listen.metrics_port}')
        await _spawn(serve_pages, metrics, self._show_metrics)
        await _spawn(run_supervised, self._pulse.run)
        if self._state.own.needs_contact:
            await _spawn(run_supervised, self._contacts.run)
        await _spawn(run_supervised, self._directory.run, self._update_board)
        await _spawn(run_supervised, self._duty.run)
        await _spawn(run_supervised, self._leaders.run)
        await _spawn(run_supervised, self._lost_logs.run)
        if settings.evacuation_seconds:
            await _spawn(
                run_supervised,
                self._evacuations.look_for_unknown_zones,
                self._store,
                self._exchange,
            )
        await _spawn(run_supervised, self._desk.rollback_idle)
        callers = _listen(listen.callers)
        await _spawn(accept_connections, callers, self._serve_caller)
        signals = SignalReader(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        number = await signals.read()
        while number == signal.SIGHUP:
            self._reload()
            number = await signals.read()
        await self._shut_down(number)

    def _reload(self) -> None:
        """Say what has changed; addresses and names need a restart."""
        path = os.environ.get(SETTINGS_VARIABLE, '')
        try:
            read = load_entry_settings(path)
        except ComfreystairError as error:
            self._log.write('reload', is_taken=False, reason=error)
            return
        self._log.write(
            'reload', is_taken=True, is_changed=read != self._settings
        )

    def _build_desk(self) -> SessionManager:
        relay = GatewayClient(
            self._state.own, self._book, self._local, self._peers, self._log
        )
        attempts = AttemptRunner(
            self._state,
            self._board,
            relay,
            self._log,
            RetryControl(self._retry_budget, self._book),
        )
        parts = (self._state, self._placement, attempts)
        return SessionManager(
            self._state,
            self._rate_limiter,
            StatementExecutor(*parts, self._log),
            TransactionManager(*parts, relay),
            self._pulse.refresh_now,
            self._settings.key_seconds,
            self._counters,
            self._log,
        )

    def _build_methods(self) -> dict[str, Method]:
        service = GatewayService(self._state, self._local)
        return {
            **service.list_methods(),
            'grant': Method(definitions.GrantRequest, self._keeper.grant),
            'group': Method(
                definitions.GroupNotice, self._notices.handle_notice
            ),
            'heard': Method(
                definitions.GroupInquiry, self._notices.handle_inquiry
            ),
            'unreachable': Method(
                definitions.UnreachableNotice,
                self._notices.handle_unreachable,
            ),
            'contact': Method(
                definitions.ContactRequest, self._contacts.handle_request
            ),
            'proof': Method(
                definitions.ProofRequest, self._exchange.handle_request
            ),
            'lists': Method(
                definitions.ListsRequest, self._directory.handle_request
            ),
            'plan': Method(definitions.Empty, self._plans.handle_request),
            'identify': Method(definitions.Empty, self._identify),
        }

    def _log_era(self, era: int, previous: int, source: str) -> None:
        self._log.write('store_era', era=era, previous=previous, source=source)

    async def _identify(self, _request: object) -> object:
        return definitions.Identity(
            incarnation=self._state.own.incarnation,
            is_keeper=self._keeper.is_elected,
        )

    async def _open(
        self, entry: TargetEntry, organisation: str, seconds: float
    ) -> TargetConnection:
        names = (entry.group, organisation, entry.ident)
        return await open_target(self._dial, entry.address, names, seconds)

    async def _open_probe(
        self, entry: TargetEntry, seconds: float
    ) -> TargetConnection:
        return await self._open(entry, _PROBE_NAME, seconds)

    async def _update_board(self) -> None:
        self._log_cold()
        await self._board.update(
            self._state.targets.values(),
            self._book.find_connection_limit,
            self._has_use,
            self._book.has_shares,
        )
        await self._local.abort_disallowed()
        plan = self._state.plan
        if plan is not None:
            rest = plan.idle_seconds + _LEFT_SECONDS
            await self._local.rollback_idle(read_clock() - rest)

    def _has_use(self, entry: TargetEntry) -> bool:
        """Tell whether resting connections to a target will be used."""
        if not self._may_send(entry):
            return False
        asked_at = self._local.find_last_request_time(entry.ident)
        is_asked = read_clock() - asked_at < _STAND_IN_SECONDS
        return is_asked or self._book.is_gateway(entry)

    def _may_send(self, entry: TargetEntry) -> bool:
        return self._state.may_send(entry, read_clock())

    async def _serve_caller(
        self, client: socket.socket, _address: tuple
    ) -> None:
        """Serve a caller, or turn it away when there are too many."""
        if self._callers >= self._most_callers:
            self._log.write('caller_turned_away', callers=self._callers)
            await turn_away(client, add_jitter(_FULL_RETRY_SECONDS))
            return
        self._callers += 1
        try:
            await serve_caller(client, self._desk)
        finally:
            self._callers -= 1

    def _show_ready(self) -> tuple[int, str]:
        if self._desk.is_ready and self._callers < self._most_callers:
            return _OK, 'ready\n'
        return _NOT_READY, 'not ready\n'

    def _show_metrics(self) -> tuple[int, str]:
        gauges = {
            'sessions': float(len(self._desk.sessions)),
            'callers': float(self._callers),
            'most_callers': float(self._most_callers),
            'plan_age_seconds': self._state.find_plan_age(read_clock()),
            'store_era': float(self._state.store_era.current),
            'zones_evacuated': float(len(self._state.evacuations.evacuated)),
            'log_lines_left_out': float(self._log.left_out),
            'region_rejections_total': float(self._placement.region_rejections),
            'retries_made_total': float(self._retry_budget.made),
            'retries_withheld_total': float(self._retry_budget.withheld),
            **self._board.list_gauges(),
        }
        return _OK, self._counters.format(
            gauges
        ) + self._admission_report.format()

    async def _shut_down(self, number: int) -> None:
        seconds = self._settings.shutdown_seconds
        began_at = read_clock()
        self._log.write(
            'stop', signal=number, sessions=len(self._desk.sessions)
        )
        self._desk.start_draining(seconds / 2)
        await _spawn(self._leave)
        give_up_at = began_at + seconds - _LEAVE_SECONDS
        while read_clock() < give_up_at:
            passed = read_clock() - began_at
            await self._close_some(passed / _CLOSE_SECONDS)
            is_empty = not (self._desk.sessions or self._local.active_count)
            if passed > _ROTATION_SECONDS and is_empty:
                break
            await curio.sleep(_STEP_SECONDS)
        if not self._desk.sessions:
            await self._announce_stop()
        self._log.write(
            'stopped',
            sessions=len(self._desk.sessions),
            took=read_clock() - began_at,
        )
        self._log.flush()

    async def _close_some(self, share: float) -> None:
        """Close sessions at rest, a growing share of them."""
        resting = [
            session
            for session in self._desk.sessions
            if session.reader_task and self._desk.should_close(session)
        ]
        for session in resting[: int(len(resting) * min(share, 1)) + 1]:
            await session.reader_task.cancel(blocking=False)

    async def _leave(self) -> None:
        for step in (self._duty.resign, self._pulse.announce_shutdown):
            await self._try_to_tell(step)

    async def _announce_stop(self) -> None:
        async with curio.ignore_after(_LAST_CALL_SECONDS):
            await self._try_to_tell(self._pulse.announce_stop)

    async def _try_to_tell(self, step: Callable[[], Awaitable[None]]) -> None:
        try:
            await step()
        except ComfreystairError as error:
            self._log.write('leaving_not_told', reason=error)


def main() -> None:
    """Run an instance with the settings that the environment names."""
    logger.remove()
    path = os.environ.get(SETTINGS_VARIABLE, '')
    try:
        settings = load_entry_settings(path)
    except ComfreystairError as error:
        sys.stderr.write(f'error: {error}\n')
        sys.exit(EXIT_USAGE)
    findings = check_entry_settings(settings)
    for found in findings:
        sys.stderr.write(f'{found.ident}: {found.message}; {found.hint}\n')
    if any(found.level == LEVEL_ERROR for found in findings):
        sys.exit(EXIT_USAGE)
    curio.run(_run_to_end, settings)


async def _run_to_end(settings: EntrySettings) -> None:
    await EntryInstance(settings).run()
    # What still runs holds nothing but sockets, which end with the process.
    os._exit(0)


async def _spawn(call: Callable[..., Awaitable[None]], *given: object) -> None:
    await curio.spawn(call, *given, daemon=True)


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen(_BACKLOG)
    return sock


def _bound_silence(dial):
    """Have the kernel end connections whose far end has gone silent."""

    async def dial_bounded(address: str) -> socket.socket:
        sock = await dial(address)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _SILENCE_MILLISECONDS
        )
        return sock

    return dial_bounded


if __name__ == '__main__':
    main()
