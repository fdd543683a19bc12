"""Token buckets of daemons that lend each other tokens.

The rate and burst of the whole fleet are split between the daemons by shares
that add up to at most one. A daemon refills its bucket at its share of the
rate and lends tokens to other daemons on demand. A loan reduces the capacity
of the lender until it expires, and the borrower discards the tokens that it
has not spent by then. All daemons together therefore never hold more tokens
than the burst and never refill faster than the rate.
"""

import collections
from typing import Final, NamedTuple

LOAN_TTL_SECONDS: Final = 1.0
_DEMAND_WINDOW_SECONDS: Final = 0.5
# Seconds of demand whose tokens are kept when lending, and are borrowed
# before the requests arrive.
_RESERVE_SECONDS: Final = 0.1
_MIN_LOAN_TOKENS: Final = 0.05
# One token, with a tolerance for floating-point rounding.
_ONE_TOKEN: Final = 0.999999


class Loan(NamedTuple):
    """Tokens that a daemon has lent or borrowed.

    :param expires_at: monotonic seconds at which the loan expires.
    """

    tokens: float
    expires_at: float


class LendingTokenBucket:
    """The token bucket of one organisation at one daemon."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Begin without tokens and with a share of zero.

        :param rate: limit of the whole fleet, in requests per second.
        :param burst: limit of the whole fleet, in requests.
        :param now: monotonic seconds.
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
        """Return the share of this daemon, from 0 to 1."""
        return self._share

    @property
    def demand(self) -> float:
        """Return the recent arrival rate, in requests per second.

        Earlier arrivals decay with time.
        """
        return self._demand

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Set the limits of a new manifest."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, self._get_capacity())

    def set_share(self, share: float, now: float) -> None:
        """Set the share and discard tokens above the new capacity."""
        self._refill(now)
        self._share = share
        self._tokens = min(self._tokens, self._get_capacity())

    def record_arrival(self, now: float) -> None:
        """Count one request as demand, whether or not it is admitted."""
        self._refill(now)
        self._demand += 1 / _DEMAND_WINDOW_SECONDS

    def take(self, now: float) -> bool:
        """Spend one token, a borrowed one first.

        :returns: whether there was one.
        """
        self._refill(now)
        if self._tokens < _ONE_TOKEN and self.available < _ONE_TOKEN:
            return False
        missing = self._spend_borrowed(1)
        self._tokens = max(self._tokens - missing, 0)
        return True

    @property
    def available(self) -> float:
        """Return the tokens held, including borrowed ones.

        The number is as of the last refill.
        """
        return self._tokens + sum(loan.tokens for loan in self._borrowed)

    def find_surplus(self, now: float) -> float:
        """Return the tokens that this daemon can lend now.

        Tokens that it has borrowed itself are not lent.
        """
        self._refill(now)
        reserve = self._demand * _RESERVE_SECONDS
        return max(self._tokens - reserve, 0)

    def lend(self, requested: float, now: float) -> float:
        """Debit tokens that another daemon borrows.

        The debit is kept whether or not the reply reaches the borrower.

        :returns: the number of tokens lent, 0 if it would be too small.
        """
        granted = min(requested, self.find_surplus(now))
        if granted < _MIN_LOAN_TOKENS:
            return 0
        self._tokens -= granted
        self._lent.append(Loan(granted, now + LOAN_TTL_SECONDS))
        return granted

    def borrow(self, tokens: float, asked_at: float, now: float) -> None:
        """Credit a loan, unless it has already expired.

        The caller credits each loan only once.

        :param asked_at: when the loan was requested, by the clock of this
            daemon; never later than when it was granted, so the borrower's
            loan expires no later than the lender's.
        """
        expires_at = asked_at + LOAN_TTL_SECONDS
        if tokens > 0 and now < expires_at:
            self._borrowed.append(Loan(tokens, expires_at))

    def find_borrow_amount(self, waiting: int, now: float) -> float:
        """Return the number of tokens to ask other daemons for.

        :param waiting: number of requests that wait for a token.
        """
        self._refill(now)
        reserve = self._demand * _RESERVE_SECONDS
        return max(waiting + reserve - self.available, 0)

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Return seconds until this daemon's refill would admit a request.

        Without a refill the wait is infinite.

        :param ahead: number of requests that already wait.
        """
        self._refill(now)
        refill_rate = self._rate * self._share
        missing = ahead + 1 - self.available
        if missing <= 0:
            return 0
        return missing / refill_rate if refill_rate else float('inf')

    def _get_capacity(self) -> float:
        if not self._lent:
            return self._burst * self._share
        lent = sum(loan.tokens for loan in self._lent)
        return max(self._burst * self._share - lent, 0)

    def _refill(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._updated_at = now
        while self._lent and self._lent[0].expires_at <= now:
            self._lent.popleft()
        while self._borrowed and self._borrowed[0].expires_at <= now:
            self._borrowed.popleft()
        refilled = self._tokens + self._rate * self._share * elapsed
        self._tokens = max(min(refilled, self._get_capacity()), 0)
        self._demand *= max(1 - elapsed / _DEMAND_WINDOW_SECONDS, 0)

    def _spend_borrowed(self, required: float) -> float:
        while self._borrowed and required > 0:
            loan = self._borrowed.popleft()
            spent = min(loan.tokens, required)
            required -= spent
            if loan.tokens > spent:
                remaining_loan = Loan(loan.tokens - spent, loan.expires_at)
                self._borrowed.appendleft(remaining_loan)
        return required
