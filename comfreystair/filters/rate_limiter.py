"""Limit the request rate of each organisation.

The limits of an organisation, its rate and burst, apply to the whole fleet.
Each daemon holds a share of them and borrows tokens from other daemons.
"""

import collections
import time
from collections.abc import Awaitable, Callable
from typing import Final

import curio

from comfreystair.controllers.token_lending import LendingTokenBucket
from comfreystair.manifest.index import ManifestIndex

_RETRY_SECONDS: Final = 0.02
_MIN_WAIT_SECONDS: Final = 0.001

BorrowTokens = Callable[[str, float], Awaitable[float]]


class RateLimiter:
    """Token buckets of all organisations at this daemon."""

    def __init__(self, borrow: BorrowTokens) -> None:
        """Create a rate limiter that knows no organisations yet.

        :param borrow: asks other daemons for a number of tokens of an
            organisation and returns how many it received.
        """
        self._borrow = borrow
        self._buckets: dict[str, LendingTokenBucket] = {}
        self._waiting: dict[str, collections.deque[int]] = {}
        self._borrowing: set[str] = set()
        self._share = 0.0
        self._last_number = 0

    @property
    def buckets(self) -> dict[str, LendingTokenBucket]:
        """Return the token buckets by organisation."""
        return self._buckets

    def apply(self, manifest: ManifestIndex, now: float) -> None:
        """Apply the rates and bursts of a manifest."""
        organisations = manifest.manifest.organisations
        for removed in self._buckets.keys() - {
            organisation.name for organisation in organisations
        }:
            self._buckets.pop(removed)
        for organisation in organisations:
            bucket = self._buckets.get(organisation.name)
            if bucket is None:
                bucket = LendingTokenBucket(
                    organisation.rate, organisation.burst, now
                )
                bucket.set_share(self._share, now)
                self._buckets[organisation.name] = bucket
            else:
                bucket.configure(organisation.rate, organisation.burst, now)

    def set_share(self, share: float, now: float) -> None:
        """Set this daemon's share of every organisation's limits, 0 to 1."""
        self._share = share
        for bucket in self._buckets.values():
            bucket.set_share(share, now)

    def list_surplus(self, now: float) -> dict[str, float]:
        """Return the tokens that could be lent, by organisation."""
        return {
            name: bucket.find_surplus(now)
            for name, bucket in self._buckets.items()
        }

    async def admit(
        self, organisation: str, max_wait_seconds: float
    ) -> float | None:
        """Spend a token, waiting for one if necessary.

        Requests of one organisation are admitted in order of arrival.

        :param max_wait_seconds: longest wait for a token.
        :returns: None when admitted, else the seconds after which a retry is
            likely to be admitted: 60 at most, and ``max_wait_seconds`` for an
            unknown organisation.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return max_wait_seconds
        now = time.monotonic()
        bucket.record_arrival(now)
        queue = self._waiting.setdefault(organisation, collections.deque())
        if not queue and bucket.take(now):
            return None
        self._last_number += 1
        number = self._last_number
        queue.append(number)
        try:
            return await self._wait(
                organisation, bucket, number, now + max_wait_seconds
            )
        finally:
            if number in queue:
                queue.remove(number)

    async def _wait(
        self,
        organisation: str,
        bucket: LendingTokenBucket,
        number: int,
        deadline: float,
    ) -> float | None:
        queue = self._waiting[organisation]
        while True:
            now = time.monotonic()
            if queue[0] == number and bucket.take(now):
                return None
            ahead = queue.index(number)
            estimated_wait = bucket.estimate_wait(ahead, now)
            if now >= deadline:
                return min(max(estimated_wait, _RETRY_SECONDS), 60)
            await self._borrow_tokens(organisation, bucket)
            delay = min(estimated_wait, _RETRY_SECONDS, deadline - now)
            await curio.sleep(max(delay, _MIN_WAIT_SECONDS))

    async def _borrow_tokens(
        self, organisation: str, bucket: LendingTokenBucket
    ) -> None:
        if organisation in self._borrowing:
            return
        now = time.monotonic()
        waiting = len(self._waiting[organisation])
        wanted = bucket.find_borrow_amount(waiting, now)
        if not wanted:
            return
        self._borrowing.add(organisation)
        try:
            borrowed = await self._borrow(organisation, wanted)
        finally:
            self._borrowing.discard(organisation)
        bucket.borrow(borrowed, now, time.monotonic())
