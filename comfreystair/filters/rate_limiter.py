"""Hold each organisation to its rate and burst over the whole fleet."""

import collections
import time
from collections.abc import Awaitable, Callable
from typing import Final

import curio

from comfreystair.controllers.buckets import Bucket
from comfreystair.manifest.index import ManifestIndex

_RETRY_SECONDS: Final = 0.02
_MIN_WAIT_SECONDS: Final = 0.001

BorrowTokens = Callable[[str, float], Awaitable[float]]


class RateLimiter:
    """Buckets of all organisations at this daemon."""

    def __init__(self, borrow: BorrowTokens) -> None:
        """Start without buckets.

        :param borrow: asks other daemons for tokens of an organisation and
            returns how many came.
        """
        self._borrow = borrow
        self._buckets: dict[str, Bucket] = {}
        self._waiting: dict[str, collections.deque[int]] = {}
        self._borrowing: set[str] = set()
        self._share = 0.0
        self._number = 0

    @property
    def buckets(self) -> dict[str, Bucket]:
        """Return the buckets by organisation."""
        return self._buckets

    def apply(self, manifest: ManifestIndex, now: float) -> None:
        """Take over the limits of a manifest."""
        wanted = manifest.manifest.organisations
        for gone in self._buckets.keys() - {one.name for one in wanted}:
            self._buckets.pop(gone)
        for one in wanted:
            bucket = self._buckets.get(one.name)
            if bucket is None:
                bucket = Bucket(one.rate, one.burst, now)
                bucket.set_share(self._share, now)
                self._buckets[one.name] = bucket
            else:
                bucket.configure(one.rate, one.burst, now)

    def set_share(self, share: float, now: float) -> None:
        """Change this daemon's share of every organisation's limits."""
        self._share = share
        for bucket in self._buckets.values():
            bucket.set_share(share, now)

    def list_surplus(self, now: float) -> dict[str, float]:
        """Return what could be lent, by organisation."""
        return {
            name: bucket.find_surplus(now)
            for name, bucket in self._buckets.items()
        }

    async def admit(self, organisation: str, seconds: float) -> float | None:
        """Spend a token, waiting a little for one.

        :param seconds: bound on the wait.
        :returns: nothing when admitted, else seconds until a retry is apt.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return seconds
        now = time.monotonic()
        bucket.count_arrival(now)
        queue = self._waiting.setdefault(organisation, collections.deque())
        if not queue and bucket.take(now):
            return None
        self._number += 1
        number = self._number
        queue.append(number)
        try:
            return await self._wait(organisation, bucket, number, now + seconds)
        finally:
            if number in queue:
                queue.remove(number)

    async def _wait(
        self, organisation: str, bucket: Bucket, number: int, deadline: float
    ) -> float | None:
        queue = self._waiting[organisation]
        while True:
            now = time.monotonic()
            if queue[0] == number and bucket.take(now):
                return None
            ahead = queue.index(number)
            own_wait = bucket.find_wait(ahead, now)
            if now >= deadline:
                return min(max(own_wait, _RETRY_SECONDS), 60)
            await self._ask_others(organisation, bucket)
            pause = min(own_wait, _RETRY_SECONDS, deadline - now)
            await curio.sleep(max(pause, _MIN_WAIT_SECONDS))

    async def _ask_others(self, organisation: str, bucket: Bucket) -> None:
        if organisation in self._borrowing:
            return
        now = time.monotonic()
        waiting = len(self._waiting[organisation])
        wanted = bucket.find_wanted(waiting, now)
        if not wanted:
            return
        self._borrowing.add(organisation)
        try:
            got = await self._borrow(organisation, wanted)
        finally:
            self._borrowing.discard(organisation)
        bucket.borrow(got, now, time.monotonic())
