"""Errors that the daemon itself reports to callers.

docs/ref/errors.md lists them. A message starts with ``not run`` only when
nothing was sent, or when the target proved that it ran nothing.
"""

from typing import Final

from comfreystair.filters.exceptions import RequestError

NOT_RUN: Final = '57P03'
RATE_LIMITED: Final = '53400'
INVALID_KEY: Final = '28P01'
KEY_REVOKED: Final = '28000'
INSUFFICIENT_PRIVILEGE: Final = '42501'
OUTCOME_UNKNOWN: Final = '08007'
CONNECTION_LOST: Final = '08006'
SHUTTING_DOWN: Final = '57P01'
NOT_SUPPORTED: Final = '0A000'
PROTOCOL_VIOLATION: Final = '08P01'
FAILED_TRANSACTION: Final = '25P02'
IDLE_TRANSACTION: Final = '25P03'
INVALID_PARAMETER: Final = '22023'
UNKNOWN_ROUTE: Final = '42704'
TOO_LARGE: Final = '54000'
CANCELED: Final = '57014'
READ_ONLY: Final = '25006'
TOO_MANY_CONNECTIONS: Final = '53300'

_MILLISECONDS: Final = 1000


def build_not_run_error(
    message: str, step: str, peer: str = '', retry_seconds: float = 0.2
) -> RequestError:
    """Build the error for a request that did not run.

    :param step: name of the filter in which the request failed.
    :param peer: target or group that the error is about.
    :param retry_seconds: delay that the hint recommends before a retry.
    """
    delay_ms = int(retry_seconds * _MILLISECONDS)
    return RequestError(
        NOT_RUN,
        f'not run: {message}',
        step=step,
        peer=peer,
        hint=f'Nothing ran. Retry after {delay_ms} ms.',
    )


def build_connection_lost_error(
    message: str, step: str, peer: str = ''
) -> RequestError:
    """Build the error for a request that may have run without a commit.

    :param step: name of the filter in which the request failed.
    :param peer: target or group that the error is about.
    """
    return RequestError(
        CONNECTION_LOST,
        f'connection to the target lost, nothing was committed: {message}',
        step=step,
        peer=peer,
        hint='Restart the transaction; a single read can be repeated as it is.',
    )


def build_rate_limit_error(
    organisation: str, retry_seconds: float
) -> RequestError:
    """Build the error for a request that exceeds its organisation's rate."""
    delay_ms = int(retry_seconds * _MILLISECONDS)
    return RequestError(
        RATE_LIMITED,
        f'not run: organisation "{organisation}" is over its rate',
        step='admit',
        hint=f'Nothing ran. Retry after {delay_ms} ms.',
    )


def build_revoked_key_error(organisation: str) -> RequestError:
    """Build the error for a session whose key was revoked."""
    return RequestError(
        KEY_REVOKED,
        f'the key of organisation "{organisation}" was revoked',
        step='authenticate',
        hint='Nothing ran. Connect again with a valid key.',
        is_fatal=True,
    )


def build_permission_error(message: str) -> RequestError:
    """Build the error for a request that its organisation may not run."""
    return RequestError(
        INSUFFICIENT_PRIVILEGE,
        f'not run: {message}',
        step='authorise',
        hint='Ask the operators which routes the organisation may use.',
    )


def build_outcome_unknown_error(
    message: str, step: str, peer: str = ''
) -> RequestError:
    """Build the error for a write that may or may not have taken effect."""
    return RequestError(
        OUTCOME_UNKNOWN,
        f'outcome unknown: {message}',
        step=step,
        peer=peer,
        hint=(
            'It may have taken effect. Read it back, or repeat it only with '
            'the same idempotency key.'
        ),
    )


def build_unsupported_error(reason: str) -> RequestError:
    """Build the error for a statement that pooled connections can't support.

    :param reason: the statement or feature, the subject of the message.
    """
    return RequestError(
        NOT_SUPPORTED,
        f'not run: {reason} is not supported through comfreystair',
        step='route',
        hint='See docs/ref/protocol.md for what is supported.',
    )


def build_invalid_request_error(
    message: str, sqlstate: str = INVALID_PARAMETER
):
    """Build the error for an invalid setting, route, token or key."""
    return RequestError(sqlstate, f'not run: {message}', step='route')
