"""Callers' edge: serve the line protocol on accepted connections."""

from typing import Final

import curio
from curio import socket
from loguru import logger

from comfreystair.platform.exceptions import MalformedError
from comfreystair.platform.lines import (
    LineReader,
    format_failure,
    format_ready,
    parse_statement,
)
from comfreystair.sessions.manager import Session, SessionManager
from comfreystair.sessions.statements import (
    Answer,
    Failure,
    build_failed_answer,
    build_retry_answer,
)

# Bound on the wait for a caller's first line, in seconds: callers give up
# after two.
_STARTUP_SECONDS: Final = 3.0
# Bound on sending an answer to a caller that does not read, in seconds.
_SEND_SECONDS: Final = 10.0
_GONE_ERRORS: Final = (OSError, curio.TaskTimeout)
_UNSERVED_ERRORS: Final = (OSError, curio.TaskTimeout, MalformedError)


async def serve_caller(sock: socket.socket, desk: SessionManager) -> None:
    """Serve one caller's connection until either side ends it."""
    async with sock:
        reader = LineReader(sock)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await _serve(sock, reader, desk)
        except MalformedError as error:
            logger.info('event=caller_malformed reason="{}"', error)
            await _say_malformed(sock, error)
        except _GONE_ERRORS as error:
            logger.debug('event=caller_gone reason="{}"', error)


async def turn_away(sock: socket.socket, retry_seconds: float) -> None:
    """Tell a caller that nothing has run and when to come back.

    Its first line is read before, as closing would else reset the connection
    and the answer could be lost.
    """
    refusal = build_retry_answer('too many sessions, not run', retry_seconds)
    try:
        async with sock, curio.timeout_after(_STARTUP_SECONDS):
            await LineReader(sock).read()
            await _send(sock, _format_error(refusal))
    except _UNSERVED_ERRORS as error:
        logger.debug('event=caller_gone reason="{}"', error)


async def _serve(
    sock: socket.socket, reader: LineReader, desk: SessionManager
) -> None:
    async with curio.timeout_after(_STARTUP_SECONDS):
        first = await reader.read()
    if not first:
        return
    word, _, rest = first.partition(' ')
    database, _, key = rest.partition(' ')
    if word != 'STARTUP' or not database:
        raise MalformedError('the first line is no STARTUP', 'startup')
    session, refusal = await desk.open(database, key)
    if refusal is not None:
        await _send(sock, _format_error(refusal))
        return
    try:
        await _converse(sock, reader, desk, session)
    finally:
        await desk.close(session)


async def _converse(
    sock: socket.socket,
    reader: LineReader,
    desk: SessionManager,
    session: Session,
) -> None:
    await _send(sock, format_ready(session.phase, session.position))
    while not desk.should_close(session):
        line = await _read_request(reader, desk, session)
        if not line or line == 'BYE':
            return
        word, _, rest = line.partition(' ')
        ident, _, text = rest.partition(' ')
        if word != 'QUERY' or not text:
            raise MalformedError('a line that is no QUERY', 'query')
        answer = await desk.execute(session, parse_statement(ident, text))
        ready = format_ready(session.phase, session.position)
        await _send(sock, f'{_format_answer(answer)}{ready}')


async def _read_request(
    reader: LineReader, desk: SessionManager, session: Session
) -> str:
    """Return the next line; empty when the session is to be closed."""
    if reader.has_input:
        return await reader.read()
    task = curio.current_task
    session.reader_task = await task()
    try:
        return await reader.read()
    except curio.TaskCancelled:
        if desk.should_close(session):
            return ''
        raise
    finally:
        session.reader_task = None


def _format_answer(answer: Answer) -> str:
    if answer.failure is not None:
        return _format_error(answer)
    rows = ''.join(f'ROW {row}\r\n' for row in answer.rows)
    return f'{rows}COMPLETE {answer.signature}\r\n'


def _format_error(answer: Answer) -> str:
    code = format_failure(answer.failure or Failure.failed)
    return f'ERROR {code} {answer.detail or "-"}\r\n'


async def _say_malformed(sock: socket.socket, error: MalformedError) -> None:
    try:
        await _send(
            sock,
            _format_error(build_failed_answer(Failure.malformed, str(error))),
        )
    except _GONE_ERRORS as gone:
        logger.debug('event=caller_gone reason="{}"', gone)


async def _send(sock: socket.socket, text: str) -> None:
    async with curio.timeout_after(_SEND_SECONDS):
        await sock.sendall(text.encode())
