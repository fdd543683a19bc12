"""Rate limits of organisations and cold targets over the whole fleet.

Each availability zone has one keeper: the instance that holds the zone's part
of all token buckets and grants tokens to the other instances.
"""

from collections.abc import Callable, Container
from typing import Final, NamedTuple

from comfreystair.clocks import read_clock
from comfreystair.controllers.token_buckets import (
    EXPIRED,
    GrantedTokens,
    Limits,
    TakenToken,
    TokenBucket,
    TokenGrant,
    split_limits,
)
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions

# Timeout of one request to a keeper.
_REQUEST_TIMEOUT_SECONDS: Final = 0.25
# A keeper that did not answer is not asked again for this long.
_KEEPER_BACKOFF_SECONDS: Final = 0.7
# Retry delay returned while no keeper answers.
_NO_KEEPER_RETRY_SECONDS: Final = 0.5
# Retry delay returned by an instance that is not the keeper, or that does not
# know the organisation or target.
_NOT_KEEPER_RETRY_SECONDS: Final = 0.2

# Returns a keeper's part of a cold target's limits, nothing if it has none.
FindTargetLimits = Callable[[str], Limits | None]


class _Subject(NamedTuple):
    """What tokens are for: an organisation, or a cold target."""

    organisation: str = ''
    target: str = ''


class RateLimiter:
    """Admits requests with tokens that keepers grant to this instance."""

    def __init__(
        self,
        state: FleetState,
        peers: PeerClients,
        zones: tuple[str, ...],
        log: DecisionLog,
    ) -> None:
        """Initialise a limiter that holds no tokens.

        :param state: this instance's view of the fleet, with the keepers.
        :param peers: clients of the other instances.
        :param zones: availability zones of the fleet. The keeper of this
            instance's own zone is asked first.
        :param log: receives an event when a keeper does not answer.
        """
        self._state = state
        self._peers = peers
        own = state.own.zone
        self._zones = (own, *(zone for zone in zones if zone != own))
        self._log = log
        self._held_tokens: dict[_Subject, GrantedTokens] = {}
        self._last_keepers: dict[str, InstanceRecord] = {}
        self._backoff_until: dict[str, float] = {}
        self._empty_until: dict[tuple[str, _Subject], float] = {}

    async def admit(self, organisation: str) -> float | None:
        """Spend one of an organisation's tokens, asking keepers if needed.

        :returns: nothing when the request is admitted, else the seconds after
            which it should be retried.
        """
        token = await self._take(_Subject(organisation), self._zones)
        return token.retry_seconds if token.expires_at == EXPIRED else None

    async def take_for_target(
        self, target: str, zones: Container[str]
    ) -> TakenToken:
        """Take one of a cold target's tokens, asking keepers if needed.

        :param zones: those whose keepers have a share.
        """
        return await self._take(_Subject(target=target), zones)

    async def _take(
        self, subject: _Subject, zones: Container[str]
    ) -> TakenToken:
        held_tokens = self._held_tokens.setdefault(subject, GrantedTokens())
        wanted = held_tokens.record_arrival(read_clock())
        expires_at = held_tokens.take(read_clock())
        retry = _NO_KEEPER_RETRY_SECONDS
        for zone, keeper in self._list_keepers():
            if expires_at > EXPIRED:
                break
            if zone not in zones:
                continue
            asked_at = read_clock()
            granted = await self._request_tokens(zone, keeper, subject, wanted)
            held_tokens.add(granted.tokens, asked_at)
            expires_at = held_tokens.take(read_clock())
            retry = min(retry, granted.retry_seconds)
        return TakenToken(expires_at, retry)

    def _list_keepers(self) -> list[tuple[str, InstanceRecord]]:
        """Return the keepers to ask, with their zones, in this order.

        A zone's listed keeper comes before the one that last answered as its
        keeper. That one may still grant tokens while the list names another
        or none, as after a restore of the store.
        """
        found: list[tuple[str, InstanceRecord]] = []
        for zone in self._zones:
            listed = self._state.keepers.get(zone)
            last = self._last_keepers.get(zone)
            if listed is not None:
                found.append((zone, listed))
            if last is not None and last != listed:
                found.append((zone, last))
        return found

    async def _request_tokens(
        self,
        zone: str,
        keeper: InstanceRecord,
        subject: _Subject,
        wanted: float,
    ) -> TokenGrant:
        """Request tokens from a zone's keeper.

        The keeper is not asked while it is avoided after a failure, nor before
        the retry delay of its last answer without tokens has passed.
        """
        now = read_clock()
        bucket_key = (keeper.name, subject)
        if self._backoff_until.get(keeper.incarnation, now) > now:
            return TokenGrant(0, _NO_KEEPER_RETRY_SECONDS)
        empty_until = self._empty_until.get(bucket_key, now)
        if empty_until > now:
            return TokenGrant(0, empty_until - now)
        request = definitions.GrantRequest(
            organisation=subject.organisation,
            wanted=wanted,
            keeper=zone,
            target=subject.target or None,
        )
        try:
            grant = await self._peers.call(
                keeper.address,
                'grant',
                request,
                definitions.Grant,
                _REQUEST_TIMEOUT_SECONDS,
            )
        except PeerError as error:
            self._backoff_until[keeper.incarnation] = (
                now + _KEEPER_BACKOFF_SECONDS
            )
            self._log.write('keeper_lost', zone=zone, reason=error)
            self._record_keeper(zone, keeper, is_keeper=False)
            return TokenGrant(0, _NO_KEEPER_RETRY_SECONDS)
        self._record_keeper(zone, keeper, grant.is_keeper)
        if not grant.tokens:
            self._empty_until[bucket_key] = now + grant.retry_seconds
        return TokenGrant(grant.tokens, grant.retry_seconds)

    def _record_keeper(
        self, zone: str, instance: InstanceRecord, is_keeper: bool
    ) -> None:
        """Record whether an instance has answered as a zone's keeper."""
        if is_keeper:
            self._last_keepers[zone] = instance
        elif self._last_keepers.get(zone) == instance:
            self._last_keepers.pop(zone)


class TokenKeeper:
    """Token buckets of this instance's zone, while it is the keeper."""

    def __init__(
        self,
        state: FleetState,
        keepers: int,
        find_target_limits: FindTargetLimits | None = None,
    ) -> None:
        """Initialise an instance that is not the keeper.

        :param state: this instance's view of the fleet, with the plan.
        :param keepers: number of keepers in the fleet; each has an equal part
            of an organisation's limits.
        :param find_target_limits: returns this keeper's part of the limits of
            a cold target; nothing if no target is limited.
        """
        self._state = state
        self._keeper_count = keepers
        self._find_target_limits = find_target_limits
        self._buckets: dict[_Subject, TokenBucket] = {}
        self._grants_since = float('inf')
        self._expires_at = float('-inf')

    @property
    def is_elected(self) -> bool:
        """Tell whether this instance is the keeper, or is about to be."""
        return read_clock() < self._expires_at

    @property
    def may_grant(self) -> bool:
        """Tell whether this instance may grant tokens now."""
        return self._grants_since <= read_clock() < self._expires_at

    def start(self, since: float, until: float) -> None:
        """Become the keeper, with empty buckets.

        :param since: when an earlier keeper has certainly stopped granting.
        :param until: when this instance stops, unless it is extended.
        """
        self._buckets.clear()
        self._grants_since = since
        self._expires_at = until

    def extend(self, until: float) -> bool:
        """Remain the keeper until a later time.

        :returns: whether this instance still was the keeper.
        """
        if read_clock() >= self._expires_at:
            return False
        self._expires_at = until
        return True

    def stop(self) -> None:
        """Stop being the keeper."""
        self._expires_at = float('-inf')

    async def grant(self, request) -> object:
        """Grant tokens to another instance."""
        if not self.may_grant or request.keeper != self._state.own.zone:
            return definitions.Grant(
                tokens=0,
                retry_seconds=_NOT_KEEPER_RETRY_SECONDS,
                is_keeper=False,
            )
        now = read_clock()
        subject = (
            _Subject(target=request.target)
            if request.target
            else _Subject(request.organisation)
        )
        limits = self._find_limits(subject)
        if limits is None:
            return definitions.Grant(
                tokens=0,
                retry_seconds=_NOT_KEEPER_RETRY_SECONDS,
                is_keeper=True,
            )
        bucket = self._buckets.get(subject)
        if bucket is None:
            bucket = TokenBucket(self._grants_since)
            self._buckets[subject] = bucket
        granted = bucket.grant(request.wanted, limits, now)
        return definitions.Grant(
            tokens=granted.tokens,
            retry_seconds=granted.retry_seconds,
            is_keeper=True,
        )

    def _find_limits(self, subject: _Subject) -> Limits | None:
        """Return this keeper's part of the limits of a subject.

        :returns: nothing when the plan does not contain the organisation, or
            the keeper has no share of the target's limits.
        """
        find_target_limits = self._find_target_limits
        if subject.target:
            return find_target_limits and find_target_limits(subject.target)
        plan = self._state.plan
        client = plan.clients.get(subject.organisation) if plan else None
        if client is None:
            return None
        return split_limits(client.rate, client.burst, self._keeper_count)
