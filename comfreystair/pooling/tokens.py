"""Tokens that a request needs before it is sent to a cold target."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple


class TokenRequest(NamedTuple):
    """A request for permission to send to a target.

    :param can_wait: it waits for a token, as no other target can run it.
    :param priority: lower values get a token first.
    :param seconds: bound on the time until the answer.
    """

    target: str
    can_wait: bool
    priority: int
    seconds: float


class Permit(NamedTuple):
    """Whether a request may be sent to a target.

    :param is_given: it may be sent.
    :param expires_at: when its token expires, if it needed one.
    :param retry_seconds: after which to try again, if it may not be sent.
    """

    is_given: bool
    expires_at: float = float('-inf')
    retry_seconds: float = 0


# Renews the permit that a request has, or obtains its first one. A permit whose
# token has not expired is returned as it is.
RenewPermit = Callable[[TokenRequest, Permit], Awaitable[Permit]]

PERMITTED = Permit(is_given=True)


async def permit_always(_request: TokenRequest, _permit: Permit) -> Permit:
    """Permit a request without a token."""
    return PERMITTED
