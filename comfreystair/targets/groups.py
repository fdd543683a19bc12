"""One database group: its pools, its observers, and its controllers."""

import random
import time
from collections.abc import Callable
from typing import Final

import curio
from loguru import logger

from comfreystair.conf.schema import TargetsSection
from comfreystair.controllers import (
    acknowledgements,
    failover_attempt,
    group_failover,
    quorum_positions,
)
from comfreystair.controllers.positions import Position, TargetStatus
from comfreystair.dialing import Dial
from comfreystair.exceptions import ComfreystairError
from comfreystair.manifest.schema import Database, Target
from comfreystair.targets import status as commands
from comfreystair.targets.connection import Use
from comfreystair.targets.exceptions import TargetBusyError
from comfreystair.targets.pool import Pool
from comfreystair.targets.waiters import Waiters

_TICK_SECONDS: Final = 0.02
_MIN_POLL_SECONDS: Final = 0.001
_RETRY_SECONDS: Final = 0.05


class DatabaseGroup:
    """Keep the state of a group fresh and carry out its controller's orders.

    Every method that waits has a bound in seconds.
    """

    def __init__(
        self,
        database: Database,
        settings: TargetsSection,
        candidate: str,
        dial: Dial,
    ) -> None:
        """Build the pools; nothing is connected before :meth:`run`."""
        self._name = database.name
        self._settings = settings
        self._dial = dial
        self._random = random.Random(f'{candidate}/{database.name}')
        self._pools: dict[str, Pool] = {}
        self._controller = group_failover.FailoverController(
            (),
            group_failover.FailoverSettings(
                settings.suspect_seconds,
                settings.isolated_seconds,
                settings.rank_seconds,
            ),
            candidate,
        )
        self._floors = quorum_positions.QuorumPositionTracker()
        self._waiters = Waiters()
        self._urgent: dict[str, curio.Event] = {}
        self._wanted_at = 0.0
        self._checked_at = 0.0
        self._answering: frozenset[str] = frozenset()
        self._observers: dict[str, curio.Task] = {}
        self._instances = 1
        self._database = database
        self._load_members(database)

    @property
    def name(self) -> str:
        """Return the name of the database."""
        return self._name

    @property
    def controller(self) -> group_failover.FailoverController:
        """Return the controller, to read from."""
        return self._controller

    @property
    def floors(self) -> quorum_positions.QuorumPositionTracker:
        """Return the quorum positions, to read from."""
        return self._floors

    @property
    def pools(self) -> dict[str, Pool]:
        """Return the pools by target name."""
        return self._pools

    @property
    def targets(self) -> tuple[Target, ...]:
        """Return the targets of the manifest in force."""
        return self._database.targets

    @property
    def serving(self) -> tuple[Target, ...]:
        """Return the targets that may get new work."""
        return self._serving

    async def run(self) -> None:
        """Observe the targets and carry out orders until cancelled."""
        try:
            await self._run()
        finally:
            for observer in self._observers.values():
                await observer.cancel(blocking=False)

    async def apply(self, database: Database) -> None:
        """Take over the targets of a new manifest."""
        kept = {target.name: target for target in database.targets}
        for name, pool in list(self._pools.items()):
            if kept.get(name) != pool.target:
                await self._pools.pop(name).close()
        self._load_members(database)
        await self._waiters.notify()

    def set_fleet(self, rank: int, instances: int) -> None:
        """Set the order among promoters and the number of live daemons."""
        self._controller.set_rank(rank)
        self._instances = instances
        for pool in self._pools.values():
            pool.set_share(instances)

    def is_answering(self, target: str, now: float) -> bool:
        """Tell whether a target answered lately."""
        if now - self._checked_at > _TICK_SECONDS:
            limit = self._settings.suspect_seconds
            self._checked_at = now
            self._answering = frozenset(
                name
                for name in self._controller.observations
                if not self._controller.is_unresponsive(name, now, limit)
            )
        return target in self._answering

    async def wait_commit(
        self, commit: Position, seconds: float
    ) -> acknowledgements.CommitState:
        """Wait until a commit is safe, or can't become safe, or time ends."""

        def judge() -> acknowledgements.CommitState:
            seen = self._controller.observations.values()
            return acknowledgements.evaluate_commit(
                commit,
                [one.status for one in seen],
                self._controller.majority,
            )

        if judge() == 'waiting':
            await self._ask_now()
            await self._waiters.wait(lambda: judge() != 'waiting', seconds)
        return judge()

    async def wait_floor(self, since: float, seconds: float) -> Position | None:
        """Wait for the quorum position of a majority asked after a time."""
        found = self._floors.find_read_floor(since)
        if found is None:
            await self._ask_now()
            await self._waiters.wait(
                lambda: self._floors.find_read_floor(since) is not None, seconds
            )
            found = self._floors.find_read_floor(since)
        return found

    async def wait_primary(
        self, seconds: float
    ) -> group_failover.Primary | None:
        """Wait until there is a primary that answers."""
        await self._waiters.wait(self._has_primary, seconds)
        return self._controller.primary if self._has_primary() else None

    async def wait_change(self, condition, seconds: float) -> bool:
        """Wait until a condition on the observations holds."""
        if not condition():
            await self._ask_now()
        return await self._waiters.wait(condition, seconds)

    async def see_status(
        self, target: str, status: TargetStatus, asked_at: float
    ) -> None:
        """Take in a status that came with an answer or from a peer."""
        before = self._controller.primary
        self._controller.record_status(target, status, asked_at)
        self._floors.refresh(
            self._controller.observations, self._controller.majority
        )
        after = self._controller.primary
        if before != after:
            logger.info(
                'event=primary_changed database={} target={} term={}',
                self._name,
                after.target if after else '-',
                after.term if after else 0,
            )
        await self._waiters.notify()

    def _has_primary(self) -> bool:
        now = time.monotonic()
        primary = self._controller.primary
        if primary is None or self._controller.is_failover_running:
            return False
        return self._controller.reaches_primary(now)

    def _load_members(self, database: Database) -> None:
        self._database = database
        self._serving = tuple(
            target for target in database.targets if target.state == 'serving'
        )
        for target in database.targets:
            if target.name not in self._pools:
                pool = Pool(target, database.name, self._settings, self._dial)
                pool.set_share(self._instances)
                self._pools[target.name] = pool
                self._urgent[target.name] = curio.Event()
        self._controller.set_members(
            tuple(
                group_failover.GroupMember(
                    target.name, target.address, target.state == 'leaving'
                )
                for target in database.targets
            )
        )

    async def _run(self) -> None:
        while True:
            await self._keep_observers()
            effects = self._controller.tick(
                time.monotonic(), self._random.random()
            )
            for effect in effects:
                await curio.spawn(self._carry_out, effect, daemon=True)
            await self._abort_hopeless()
            await curio.sleep(_TICK_SECONDS)

    async def _abort_hopeless(self) -> None:
        """End what waits for targets that gave no answer for too long."""
        now = time.monotonic()
        settings = self._settings
        primary = self._controller.primary
        term = primary.term if primary else 0
        for pool in self._pools.values():
            await pool.abort(_build_deadline_rule(now))
        for name in self._controller.observations:
            if self.is_answering(name, now):
                continue
            is_lost = self._controller.is_unresponsive(
                name, now, settings.isolated_seconds
            )
            aborted = await self._pools[name].abort(
                _build_abort_rule(term, is_lost=is_lost)
            )
            if aborted:
                logger.info(
                    'event=aborted database={} target={} exchanges={}',
                    self._name,
                    name,
                    aborted,
                )

    async def _keep_observers(self) -> None:
        for name in list(self._observers):
            if name not in self._pools:
                await self._observers.pop(name).cancel(blocking=False)
        for name in self._pools:
            if name not in self._observers:
                self._observers[name] = await curio.spawn(
                    self._observe, name, daemon=True
                )

    async def _ask_now(self) -> None:
        self._wanted_at = time.monotonic()
        for event in self._urgent.values():
            await event.set()

    async def _observe(self, name: str) -> None:
        urgent = self._urgent[name]
        while name in self._pools:
            started = time.monotonic()
            await self._poll(name)
            urgent.clear()
            if self._waiters.has_any and started < self._wanted_at + 1:
                pause = _MIN_POLL_SECONDS
            else:
                pause = self._settings.status_seconds
            async with curio.ignore_after(pause):
                await urgent.wait()

    async def _poll(self, name: str) -> None:
        try:
            async with curio.timeout_after(self._settings.suspect_seconds):
                _granted, status, asked_at = await self._command(
                    name, commands.STATUS_SQL
                )
        except (ComfreystairError, curio.TaskTimeout) as error:
            logger.debug(
                'event=status_failed target={} error="{}"', name, error
            )
            if isinstance(error, TargetBusyError):
                self._controller.record_response(name, time.monotonic())
            await curio.sleep(_RETRY_SECONDS)
            return
        await self.see_status(name, status, asked_at)

    async def _command(
        self, target: str, sql: str
    ) -> tuple[bool, TargetStatus, float]:
        pool = self._pools[target]
        connection = await pool.acquire(is_urgent=True)
        try:
            asked_at = time.monotonic()
            granted, status = await connection.command(sql)
        finally:
            await pool.release(connection)
        return granted, status, asked_at

    async def _carry_out(self, effect: group_failover.Effect) -> None:
        logger.info(
            'event=order database={} order={} target={} term={}',
            self._name,
            type(effect).__name__.lower(),
            effect.target,
            effect.term,
        )
        try:
            async with curio.timeout_after(self._settings.connect_seconds):
                await self._order(effect)
        except (ComfreystairError, curio.TaskTimeout) as error:
            logger.warning(
                'event=order_failed database={} target={} error="{}"',
                self._name,
                effect.target,
                error,
            )

    async def _order(self, effect: group_failover.Effect) -> None:
        granted, status, asked_at = await self._command(
            effect.target, _build_sql(effect)
        )
        logger.info(
            'event=order_answered database={} target={} granted={}',
            self._name,
            effect.target,
            granted,
        )
        if isinstance(effect, failover_attempt.Fence):
            self._controller.record_fence_reply(
                effect.target, effect.term, status, granted
            )
        elif isinstance(effect, failover_attempt.Promote):
            self._controller.record_promotion_reply(
                effect.target, effect.term, granted
            )
        await self.see_status(effect.target, status, asked_at)


def _build_abort_rule(term: int, *, is_lost: bool) -> Callable[[Use], bool]:
    def is_hopeless(use: Use) -> bool:
        return is_lost or use.is_repeatable or 0 < use.term < term

    return is_hopeless


def _build_deadline_rule(now: float) -> Callable[[Use], bool]:
    def is_over(use: Use) -> bool:
        return now > use.deadline

    return is_over


def _build_sql(effect: group_failover.Effect) -> str:
    if isinstance(effect, failover_attempt.Fence):
        return commands.fence_sql(effect.term, effect.candidate)
    if isinstance(effect, failover_attempt.Promote):
        return commands.promote_sql(effect.term, effect.candidate)
    return commands.follow_sql(effect.term, effect.primary_address)
