"""One organisation's tokens at one daemon.

The fleet's rate and burst are split by shares that add up to one at most. A
daemon refills its share by itself and lends tokens to others on demand. What
is lent lowers the lender's cap until the loan runs out, and the borrower drops
what it did not use by then, so that all daemons together never hold more than
the burst and never gain more than the rate.
"""

import collections
from typing import Final, NamedTuple

LOAN_TTL_SECONDS: Final = 1.0
_DEMAND_SECONDS: Final = 0.5
_RESERVE_SECONDS: Final = 0.1
_MIN_LOAN: Final = 0.05
_WHOLE: Final = 0.999999


class Loan(NamedTuple):
    """Tokens that belong to another daemon's share.

    :param until: monotonic seconds at which they are void.
    """

    tokens: float
    until: float


class LendingTokenBucket:
    """Count tokens for one organisation."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Start empty and without a share.

        :param rate: of the whole fleet, in requests a second.
        :param burst: of the whole fleet, in requests.
        """
        self._rate = rate
        self._burst = burst
        self._share = 0.0
        self._tokens = 0.0
        self._updated_at = now
        self._lent: collections.deque[Loan] = collections.deque()
        self._borrowed: collections.deque[Loan] = collections.deque()
        self._demand = 0.0

    @property
    def share(self) -> float:
        """Return this daemon's share, from 0 to 1."""
        return self._share

    @property
    def demand(self) -> float:
        """Return requests a second lately, decaying."""
        return self._demand

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Take over the limits of a new manifest."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, self._cap())

    def set_share(self, share: float, now: float) -> None:
        """Change the share; tokens above the new cap are dropped."""
        self._refill(now)
        self._share = share
        self._tokens = min(self._tokens, self._cap())

    def record_arrival(self, now: float) -> None:
        """Count one request towards demand, whatever becomes of it."""
        self._refill(now)
        self._demand += 1 / _DEMAND_SECONDS

    def take(self, now: float) -> bool:
        """Spend one token if there is one; borrowed ones go first."""
        self._refill(now)
        if self._tokens < _WHOLE and self.available < _WHOLE:
            return False
        missing = self._spend_borrowed(1)
        self._tokens = max(self._tokens - missing, 0)
        return True

    @property
    def available(self) -> float:
        """Return the tokens held, as of the last change."""
        return self._tokens + sum(loan.tokens for loan in self._borrowed)

    def find_surplus(self, now: float) -> float:
        """Return what could be lent now."""
        self._refill(now)
        reserve = self._demand * _RESERVE_SECONDS
        return max(self._tokens - reserve, 0)

    def lend(self, wanted: float, now: float) -> float:
        """Debit tokens for another daemon and return how many.

        The debit stands whether or not the answer arrives.
        """
        granted = min(wanted, self.find_surplus(now))
        if granted < _MIN_LOAN:
            return 0
        self._tokens -= granted
        self._lent.append(Loan(granted, now + LOAN_TTL_SECONDS))
        return granted

    def borrow(self, tokens: float, asked_at: float, now: float) -> None:
        """Credit a loan once; one that came too late is dropped.

        :param asked_at: when it was asked for, by this daemon's clock, which
            is never later than when it was granted.
        """
        until = asked_at + LOAN_TTL_SECONDS
        if tokens > 0 and now < until:
            self._borrowed.append(Loan(tokens, until))

    def find_borrow_amount(self, waiting: int, now: float) -> float:
        """Return how many tokens to ask for."""
        self._refill(now)
        ahead = self._demand * _RESERVE_SECONDS
        return max(waiting + ahead - self.available, 0)

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Return seconds until the own refill would serve a request.

        :param ahead: requests that wait already.
        """
        self._refill(now)
        refill = self._rate * self._share
        missing = ahead + 1 - self.available
        if missing <= 0:
            return 0
        return missing / refill if refill else float('inf')

    def _cap(self) -> float:
        if not self._lent:
            return self._burst * self._share
        lent = sum(loan.tokens for loan in self._lent)
        return max(self._burst * self._share - lent, 0)

    def _refill(self, now: float) -> None:
        passed = now - self._updated_at
        if passed <= 0:
            return
        self._updated_at = now
        while self._lent and self._lent[0].until <= now:
            self._lent.popleft()
        while self._borrowed and self._borrowed[0].until <= now:
            self._borrowed.popleft()
        gained = self._tokens + self._rate * self._share * passed
        self._tokens = max(min(gained, self._cap()), 0)
        self._demand *= max(1 - passed / _DEMAND_SECONDS, 0)

    def _spend_borrowed(self, needed: float) -> float:
        while self._borrowed and needed > 0:
            loan = self._borrowed.popleft()
            used = min(loan.tokens, needed)
            needed -= used
            if loan.tokens > used:
                rest = Loan(loan.tokens - used, loan.until)
                self._borrowed.appendleft(rest)
        return needed
