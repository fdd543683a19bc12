"""Borrow tokens from other daemons, and lend them."""

import random
import time
from typing import Final

from comfreystair.controllers.membership import MembershipController
from comfreystair.filters.rate_limiter import RateLimiter
from comfreystair.fleet.gossip import Gossiper
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions

_ASKED: Final = 6
_MIN_WANTED: Final = 0.01


class TokenLender:
    """Move tokens between daemons, on demand."""

    def __init__(
        self,
        membership: MembershipController,
        gossiper: Gossiper,
        peers: PeerClients,
    ) -> None:
        """Take the parts."""
        self._membership = membership
        self._gossiper = gossiper
        self._peers = peers
        self._random = random.Random(membership.own.incarnation)

    async def borrow(self, organisation: str, wanted: float) -> float:
        """Ask the likeliest lenders in turn and return what came."""
        got = 0.0
        for address in self._rank_lenders(organisation):
            if wanted - got < _MIN_WANTED:
                break
            try:
                loan = await self._peers.call(
                    address,
                    'lend',
                    definitions.LoanRequest(
                        organisation=organisation, wanted=wanted - got
                    ),
                    definitions.Loan,
                )
            except PeerError:
                continue
            got += loan.tokens or 0
        return got

    def lend(self, admission: RateLimiter, request) -> object:
        """Answer a peer that asks for tokens."""
        bucket = admission.buckets.get(request.organisation)
        tokens = 0.0
        if bucket is not None:
            tokens = bucket.lend(request.wanted or 0, time.monotonic())
        return definitions.Loan(tokens=tokens)

    def _rank_lenders(self, organisation: str) -> list[str]:
        now = time.monotonic()
        own = self._membership.own.address
        live = [
            contact.address
            for contact in self._membership.list_live(now)
            if contact.address != own
        ]
        self._random.shuffle(live)
        known = self._gossiper.surplus
        live.sort(
            key=lambda address: known.get(address, {}).get(organisation, 0),
            reverse=True,
        )
        return live[:_ASKED]
