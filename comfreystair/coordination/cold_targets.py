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
from comfreystair.controllers.token_buckets import EXPIRED, Limits, TakenToken
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
    TokenNeed,
    TokenRequest,
)

# Retry delay returned to a request that was rejected while others waited.
_QUEUED_RETRY_SECONDS: Final = 0.5
# Least time between two attempts, as when tokens arrive after their expiry.
_MIN_WAIT_SECONDS: Final = 0.01
# A request that got its token sooner did not wait: keepers answer within
# milliseconds.
_PROMPT_SECONDS: Final = 0.05


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

    async def take(target: str) -> TakenToken:
        shares = _find_shares(state, zones, target)
        return await limiter.take_for_target(target, shares.zones)

    async def renew(request: TokenRequest, permit: Permit) -> Permit:
        asked_at = read_clock()
        if not state.is_cold(request.target, asked_at):
            queues.pop(request.target, None)
            return PERMITTED
        if permit.expires_at > asked_at:
            return permit
        queue = queues.setdefault(request.target, _Queue())
        permit = await queue.run(functools.partial(_wait, state, take), request)
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
    take: Callable[[str], Awaitable[TakenToken]],
    request: TokenRequest,
) -> Permit:
    """Take a token, or wait until one is there or the target is warm.

    :param take: asks the keepers.
    :returns: a rejection if no token can be there within the request's time.
    """
    give_up_at = read_clock() + request.seconds
    while state.is_cold(request.target, read_clock()):
        token = await take(request.target)
        if token.expires_at > EXPIRED:
            return Permit(is_given=True, expires_at=token.expires_at)
        if read_clock() + token.retry_seconds >= give_up_at:
            return _build_rejection(token.retry_seconds)
        await curio.sleep(max(token.retry_seconds, _MIN_WAIT_SECONDS))
    return PERMITTED


class _Queue:
    """Order of the requests that wait for tokens of one target.

    Whoever holds ``token`` asks the keepers. A request that is not urgent
    needs ``required`` first, so that at most one of these is ahead of an
    urgent one.
    """

    def __init__(self) -> None:
        self._required = curio.Lock()
        self._token = curio.Lock()

    async def run(
        self, wait: Callable[[TokenRequest], Awaitable[Permit]], request
    ) -> Permit:
        """Wait for a token in turn, within the request's time."""
        async with curio.ignore_after(request.seconds):
            if request.need is TokenNeed.urgent:
                async with self._token:
                    return await wait(request)
            if request.need is TokenNeed.required:
                async with self._required, self._token:
                    return await wait(request)
            # A token that others wait for is not taken away from them.
            if not self._token.locked():
                return await wait(request._replace(seconds=0))
        return _build_rejection(_QUEUED_RETRY_SECONDS)


def _find_shares(
    state: FleetState, zones: Sequence[str], target: str
) -> KeeperShares:
    """Return the keepers' shares in a target's tokens, none if unknown."""
    start = state.find_cold_start(target)
    bounds = state.cold_bounds
    if start is None or bounds is None:
        return KeeperShares((), Limits(0, 0))
    return share_tokens(target, start.per_second, bounds, zones)


def _build_rejection(retry_seconds: float) -> Permit:
    """Return a rejection; the retry delay is spread over the callers."""
    return Permit(is_given=False, retry_seconds=add_jitter(retry_seconds))
