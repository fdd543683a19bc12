"""Hold each organisation to its rate and burst over the whole fleet."""

from typing import Final

from comfreystair.clocks import read_clock
from comfreystair.controllers.grants import (
    Granted,
    KeeperBucket,
    Limits,
    Wallet,
    split_limits,
)
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.manifest.serving import PUBLIC_CLIENT
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions

# Bound on one question to a keeper, in seconds.
_ASK_SECONDS: Final = 0.25
# A keeper that did not answer is left alone this long, in seconds.
_AVOID_SECONDS: Final = 0.7
# Advice when to come back while no keeper answers, in seconds.
_NO_KEEPER_RETRY_SECONDS: Final = 0.5
# Advice when to come back where this instance can't help, in seconds.
_NOT_HERE_RETRY_SECONDS: Final = 0.2


class RateLimiter:
    """Tokens that this instance holds, and where it gets more."""

    def __init__(
        self,
        state: FleetState,
        peers: PeerClients,
        zones: tuple[str, ...],
        log: DecisionLog,
    ) -> None:
        """Start without tokens."""
        self._state = state
        self._peers = peers
        own = state.own.zone
        self._zones = (own, *(zone for zone in zones if zone != own))
        self._log = log
        self._wallets: dict[str, Wallet] = {}
        self._avoided: dict[str, float] = {}
        self._empty_until: dict[tuple[str, str], float] = {}

    async def admit(self, organisation: str) -> float | None:
        """Spend a token.

        :returns: nothing when admitted, else seconds until a retry is apt.
        """
        if organisation == PUBLIC_CLIENT:
            return None
        wallet = self._wallets.setdefault(organisation, Wallet())
        wanted = wallet.find_wanted(read_clock())
        if wallet.spend(read_clock()):
            return None
        retry = _NO_KEEPER_RETRY_SECONDS
        for zone in self._zones:
            keeper = self._state.keepers.get(zone)
            if keeper is None:
                continue
            asked_at = read_clock()
            granted = await self._ask(zone, keeper, organisation, wanted)
            wallet.add(granted.tokens, asked_at)
            if wallet.spend(read_clock()):
                return None
            retry = min(retry, granted.retry_seconds)
        return retry

    async def _ask(
        self,
        zone: str,
        keeper: InstanceRecord,
        organisation: str,
        wanted: float,
    ) -> Granted:
        now = read_clock()
        place = (zone, organisation)
        if self._avoided.get(keeper.incarnation, now) > now:
            return Granted(0, _NO_KEEPER_RETRY_SECONDS)
        empty_until = self._empty_until.get(place, now)
        if empty_until > now:
            return Granted(0, empty_until - now)
        request = definitions.GrantRequest(
            organisation=organisation, wanted=wanted, keeper=zone
        )
        try:
            grant = await self._peers.call(
                keeper.address,
                'grant',
                request,
                definitions.Grant,
                _ASK_SECONDS,
            )
        except PeerError as error:
            self._avoided[keeper.incarnation] = now + _AVOID_SECONDS
            self._log.write('keeper_lost', zone=zone, reason=error)
            return Granted(0, _NO_KEEPER_RETRY_SECONDS)
        if not grant.tokens:
            self._empty_until[place] = now + grant.retry_seconds
        return Granted(grant.tokens, grant.retry_seconds)


class TokenKeeper:
    """The buckets of one availability zone, while this instance keeps them."""

    def __init__(self, state: FleetState, keepers: int) -> None:
        """Start without the duty.

        :param keepers: keepers of the whole fleet.
        """
        self._state = state
        self._count = keepers
        self._buckets: dict[str, KeeperBucket] = {}
        self._since = float('inf')
        self._until = float('-inf')

    @property
    def is_pending(self) -> bool:
        """Tell whether this instance has the duty, now or soon."""
        return read_clock() < self._until

    @property
    def is_held(self) -> bool:
        """Tell whether this instance may hand out tokens now."""
        return self._since <= read_clock() < self._until

    def start(self, since: float, until: float) -> None:
        """Take up the duty with empty buckets."""
        self._buckets.clear()
        self._since = since
        self._until = until

    def extend(self, until: float) -> bool:
        """Go on with the duty, if it has not run out; tell whether."""
        if read_clock() >= self._until:
            return False
        self._until = until
        return True

    def stop(self) -> None:
        """Give up the duty."""
        self._until = float('-inf')

    async def grant(self, request) -> object:
        """Answer another instance's question."""
        if not self.is_held or request.keeper != self._state.own.zone:
            return definitions.Grant(
                tokens=0, retry_seconds=_NOT_HERE_RETRY_SECONDS, is_keeper=False
            )
        now = read_clock()
        limits = self._find_limits(request.organisation)
        if limits is None:
            return definitions.Grant(
                tokens=0, retry_seconds=_NOT_HERE_RETRY_SECONDS, is_keeper=True
            )
        bucket = self._buckets.get(request.organisation)
        if bucket is None:
            bucket = KeeperBucket(self._since)
            self._buckets[request.organisation] = bucket
        granted = bucket.grant(request.wanted, limits, now)
        return definitions.Grant(
            tokens=granted.tokens,
            retry_seconds=granted.retry_seconds,
            is_keeper=True,
        )

    def _find_limits(self, organisation: str) -> Limits | None:
        plan = self._state.plan
        client = plan.clients.get(organisation) if plan else None
        if client is None:
            return None
        return split_limits(client.rate, client.burst, self._count)
