"""Lending of rate limit tokens between daemons."""

import random
import time
from typing import Final

from comfreystair.controllers.membership import MembershipController
from comfreystair.filters.rate_limiter import RateLimiter
from comfreystair.fleet.gossip import Gossiper
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions

_MAX_LENDERS: Final = 6
_MIN_BORROW_TOKENS: Final = 0.01


class TokenLender:
    """Borrow tokens from other daemons and lend tokens to them."""

    def __init__(
        self,
        membership: MembershipController,
        gossiper: Gossiper,
        peers: PeerClients,
    ) -> None:
        """Create a lender that finds other lenders through gossip.

        :param membership: lists the live daemons.
        :param gossiper: knows how many tokens each daemon could lend.
        """
        self._membership = membership
        self._gossiper = gossiper
        self._peers = peers
        self._random = random.Random(membership.own.incarnation)

    async def borrow(self, organisation: str, wanted: float) -> float:
        """Borrow tokens from the daemons with the largest surplus, in turn.

        :returns: number of tokens borrowed, which may be less than wanted.
        """
        borrowed = 0.0
        for address in self._rank_lenders(organisation):
            if wanted - borrowed < _MIN_BORROW_TOKENS:
                break
            try:
                loan = await self._peers.call(
                    address,
                    'lend',
                    definitions.LoanRequest(
                        organisation=organisation, wanted=wanted - borrowed
                    ),
                    definitions.Loan,
                )
            except PeerError:
                continue
            borrowed += loan.tokens or 0
        return borrowed

    def lend(self, rate_limiter: RateLimiter, request) -> object:
        """Lend tokens to a peer that requests them.

        :param rate_limiter: holds the token buckets of this daemon.
        :returns: message with the number of tokens lent, which may be 0.
        """
        bucket = rate_limiter.buckets.get(request.organisation)
        tokens = 0.0
        if bucket is not None:
            tokens = bucket.lend(request.wanted or 0, time.monotonic())
        return definitions.Loan(tokens=tokens)

    def _rank_lenders(self, organisation: str) -> list[str]:
        """Return addresses of a few other live daemons, largest surplus first.

        Daemons with equal surplus are in random order; an unknown surplus
        counts as 0.
        """
        now = time.monotonic()
        own_address = self._membership.own.address
        live = [
            contact.address
            for contact in self._membership.list_live(now)
            if contact.address != own_address
        ]
        self._random.shuffle(live)
        surplus = self._gossiper.surplus
        live.sort(
            key=lambda address: surplus.get(address, {}).get(organisation, 0),
            reverse=True,
        )
        return live[:_MAX_LENDERS]
