"""Build the answers that the daemon itself gives to callers."""

from typing import Final

from pygwire import messages
from pygwire.constants import TransactionStatus

IDLE: Final = b'I'
IN_TRANSACTION: Final = b'T'
FAILED_TRANSACTION: Final = b'E'

PARSE_COMPLETE: Final = messages.ParseComplete().to_wire()
CLOSE_COMPLETE: Final = messages.CloseComplete().to_wire()

_READY: Final = {  # noqa: WPS407
    status: messages.ReadyForQuery(
        status=TransactionStatus(status.decode())
    ).to_wire()
    for status in (IDLE, IN_TRANSACTION, FAILED_TRANSACTION)
}


def build_ready(status: bytes) -> bytes:
    """Build ReadyForQuery for a one-byte transaction status."""
    return _READY[status]


def build_error(
    sqlstate: str,
    message: str,
    *,
    severity: str = 'ERROR',
    hint: str = '',
    detail: str = '',
) -> bytes:
    """Build an ErrorResponse.

    :param sqlstate: five characters as PostgreSQL defines them.
    :param severity: ``ERROR``, or ``FATAL`` before closing the connection.
    """
    fields = {'S': severity, 'V': severity, 'C': sqlstate, 'M': message}
    if detail:
        fields['D'] = detail
    if hint:
        fields['H'] = hint
    return messages.ErrorResponse(fields=fields).to_wire()


def build_parameter_status(name: str, setting: str) -> bytes:
    """Build a ParameterStatus."""
    return messages.ParameterStatus(name=name, value=setting).to_wire()


def build_command_complete(tag: str) -> bytes:
    """Build a CommandComplete with its tag."""
    return messages.CommandComplete(tag=tag).to_wire()


def add_where(error_frame: bytes, where: str) -> bytes:
    """Append a line to the context field of an ErrorResponse frame."""
    decoded = messages.ErrorResponse.decode(memoryview(error_frame)[5:])
    fields = dict(decoded.fields)
    fields['W'] = '\n'.join(filter(None, (fields.get('W'), where)))
    return messages.ErrorResponse(fields=fields).to_wire()


def read_sqlstate(error_frame: bytes) -> str:
    """Return the SQLSTATE of an ErrorResponse frame."""
    decoded = messages.ErrorResponse.decode(memoryview(error_frame)[5:])
    return decoded.fields.get('C', '')
