"""Tokens for requests to cold targets, and what is logged of these."""

import functools
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.places.cold_targets import (
    KeeperShares,
    share_tokens,
)
from comfreystair.controllers.token_buckets import EXPIRED, Limits
from comfreystair.controllers.wait_queue import QueuedRequest, WaitQueue
from comfreystair.coordination.jitter import add_jitter
from comfreystair.coordination.rate_limiter import (
    FindTargetLimits,
    RateLimiter,
)
from comfreystair.coordination.state import FleetState
from comfreystair.observability.counters import Counters
from comfreystair.observability.decisions import DecisionLog
from comfreystair.pooling.targets import TargetEntry
from comfreystair.pooling.tokens import (
    PERMITTED,
    Permit,
    RenewPermit,
    TokenRequest,
)

# Bounds on the retry delay returned to a rejected request.
_MIN_RETRY_SECONDS: Final = 0.1
_MAX_RETRY_SECONDS: Final = 2.0
_MIN_RATE: Final = 0.001
# Least time between two attempts, as when tokens arrive after their expiry.
_MIN_WAIT_SECONDS: Final = 0.01
# A request that got its token sooner did not wait: keepers answer within
# milliseconds.
_PROMPT_SECONDS: Final = 0.05

_Wait = Callable[[TokenRequest], Awaitable[Permit]]


def build_limit_finder(
    state: FleetState, zones: Sequence[str]
) -> FindTargetLimits:
    """Return a function that finds this keeper's part of a target's limits.

    It need not know whether the target is cold.

    :param zones: availability zones of the fleet.
    """

    def find_limits(target: str) -> Limits | None:
        shares = _find_shares(state, zones, target)
        has_share = state.own.zone in shares.zones
        return shares.limits if has_share else None

    return find_limits


def build_permit_renewer(
    state: FleetState,
    limiter: RateLimiter,
    zones: Sequence[str],
    counters: Counters,
) -> RenewPermit:
    """Return a function that permits requests, to cold targets with tokens.

    :param limiter: asks the keepers for tokens.
    :param zones: availability zones of the fleet.
    :param counters: count the requests that had to wait or were rejected.
    """
    queues: dict[str, _Queue] = {}

    async def renew(request: TokenRequest, permit: Permit) -> Permit:
        asked_at = read_clock()
        if not state.is_cold(request.target, asked_at):
            queues.pop(request.target, None)
            return PERMITTED
        if permit.expires_at > asked_at:
            return permit
        queue = queues.setdefault(request.target, _Queue())
        shares = _find_shares(state, zones, request.target)
        wait = functools.partial(_wait, state, limiter, shares)
        permit = await queue.obtain(request, shares, wait)
        if not permit.is_given:
            counters.count_held_back('rejected')
        elif read_clock() - asked_at > _PROMPT_SECONDS:
            counters.count_held_back('waited')
        return permit

    return renew


def build_end_recorder(state: FleetState) -> Callable[[TargetEntry], None]:
    """Return a function that records the end of a connection to a target."""

    def record_end(entry: TargetEntry) -> None:
        start = state.find_cold_start(entry.ident)
        if start is not None:
            state.cold_targets.record_end(
                entry.ident, entry.born, start.seconds, read_clock()
            )

    return record_end


def build_change_logger(
    state: FleetState, log: DecisionLog
) -> Callable[[], None]:
    """Return a function that logs which targets became cold or warm."""
    cold: set[str] = set()

    def log_changes() -> None:
        now = read_clock()
        found = {ident for ident in state.targets if state.is_cold(ident, now)}
        for ident in sorted(found - cold):
            left = state.cold_targets.find_warm_time(ident) - now
            group = state.targets[ident].group
            log.write('target_cold', target=ident, group=group, left=left)
        for ident in sorted(cold - found):
            log.write('target_warm', target=ident)
        cold.clear()
        cold.update(found)

    return log_changes


async def _wait(
    state: FleetState,
    limiter: RateLimiter,
    shares: KeeperShares,
    request: TokenRequest,
) -> Permit:
    """Take a token, or wait until one is there or the target is warm.

    :returns: a rejection if no token can be there within the request's time.
    """
    give_up_at = read_clock() + request.seconds * request.can_wait
    while state.is_cold(request.target, read_clock()):
        token = await limiter.take_for_target(request.target, shares.zones)
        if token.expires_at > EXPIRED:
            return Permit(is_given=True, expires_at=token.expires_at)
        if read_clock() + token.retry_seconds >= give_up_at:
            return _build_rejection(token.retry_seconds)
        await curio.sleep(max(token.retry_seconds, _MIN_WAIT_SECONDS))
    return PERMITTED


class _Queue:
    """Requests that wait for a token of one target; the first asks for it."""

    def __init__(self) -> None:
        self._is_asking = False
        self._order = WaitQueue()
        self._events: dict[QueuedRequest, curio.Event] = {}

    async def obtain(
        self, request: TokenRequest, shares: KeeperShares, wait: _Wait
    ) -> Permit:
        """Obtain a token, in turn if the request can wait.

        :param wait: asks the keepers until the request's time is over.
        """
        ahead = self._count_ahead(request.priority)
        needed = _estimate_wait(ahead + 1, shares)
        # A token that others wait for is not taken away from them. Where too
        # many wait, not even the whole fleet's tokens would be enough.
        if ahead and (not request.can_wait or needed > request.seconds):
            return _build_rejection(needed)
        async with curio.ignore_after(request.seconds):
            if not request.can_wait:
                return await wait(request)
            await self._enter(request.priority)
            try:
                return await wait(request)
            finally:
                await self._leave()
        return _build_rejection(needed)

    def _count_ahead(self, priority: int) -> int:
        """Return how many requests a new one would wait for."""
        waiting = sum(one.priority <= priority for one in self._events)
        return waiting + self._is_asking

    async def _enter(self, priority: int) -> None:
        if not self._is_asking:
            self._is_asking = True
            return
        queued_request = self._order.add('', priority, read_clock())
        event = curio.Event()
        self._events[queued_request] = event
        try:
            await event.wait()
        except BaseException:
            self._order.remove(queued_request)
            self._events.pop(queued_request, None)
            if event.is_set():
                await self._leave()
            raise

    async def _leave(self) -> None:
        queued_request = self._order.choose_next('', read_clock())
        if queued_request is None:
            self._is_asking = False
            return
        self._order.remove(queued_request)
        await self._events.pop(queued_request).set()


def _find_shares(
    state: FleetState, zones: Sequence[str], target: str
) -> KeeperShares:
    """Return the keepers' shares in a target's tokens, none if unknown."""
    start = state.find_cold_start(target)
    bounds = state.cold_bounds
    if start is None or bounds is None:
        return KeeperShares((), Limits(0, 0))
    return share_tokens(target, start.per_second, bounds, zones)


def _estimate_wait(tokens: float, shares: KeeperShares) -> float:
    """Return how long all keepers need at least to grant some tokens."""
    rate, burst = (len(shares.zones) * limit for limit in shares.limits)
    return max(tokens - burst, 0) / max(rate, _MIN_RATE)


def _build_rejection(retry_seconds: float) -> Permit:
    """Return a rejection; the retry delay is spread over the callers."""
    seconds = min(max(retry_seconds, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)
    return Permit(is_given=False, retry_seconds=add_jitter(seconds))
