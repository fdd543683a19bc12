"""Serve one connection of the PostgreSQL protocol."""

import sqlite3
from typing import NamedTuple

import curio
from pygwire import messages
from pygwire.connection import BackendConnection
from pygwire.constants import TransactionStatus
from scramp import ScramMechanism

from standins.target import engine, group, sql

_READ_BYTES = 65536
_LOCK_SECONDS = 5


class Shared(NamedTuple):
    """What all sessions of a target share.

    :param slots: bounds the statements that run at a time.
    :param write_lock: held from a transaction's first write to its end.
    :param settings: times and credentials; read at each use.
    :param cancels: cancel events by process id.
    """

    target: engine.Engine
    slots: curio.Semaphore
    write_lock: curio.Lock
    settings: dict
    cancels: dict[int, curio.Event]


class SqlError(Exception):
    """A statement failed with an SQLSTATE."""

    def __init__(self, sqlstate: str, message: str) -> None:
        """Keep state and message."""
        super().__init__(message)
        self.sqlstate = sqlstate


class Session:
    """One connection with its transaction and its prepared statements."""

    def __init__(self, sock, shared: Shared, process_id: int) -> None:
        """Wrap an accepted socket."""
        self._sock = sock
        self._shared = shared
        self._target = shared.target
        self._process_id = process_id
        self._protocol = BackendConnection()
        self._status = TransactionStatus.IDLE
        self._pending: list[sql.Statement] = []
        self._writes: list[sql.Statement] = []
        self._statements: dict[str, messages.Parse] = {}
        self._portals: dict[str, sql.Statement] = {}
        self._is_skipping = False
        self._output = bytearray()
        self._wire = None

    async def serve(self) -> None:
        """Serve until the client leaves."""
        cancel = curio.Event()
        self._shared.cancels[self._process_id] = cancel
        try:
            await self._loop()
        except OSError:
            return
        finally:
            await self._end_transaction()
            self._shared.cancels.pop(self._process_id, None)
            await self._sock.close()

    async def _loop(self) -> None:
        while True:
            chunk = await self._sock.recv(_READ_BYTES)
            if not chunk:
                return
            self._log_wire(chunk)
            for message in self._protocol.receive(chunk):
                if isinstance(message, messages.Terminate):
                    return
                await self._dispatch(message)
                if isinstance(message, messages.CancelRequest):
                    return
            if self._output:
                await self._sock.sendall(bytes(self._output))
                self._output.clear()

    def _log_wire(self, chunk: bytes) -> None:
        path = self._shared.settings.get('wire_log')
        if path:
            with open(path, 'ab') as stream:
                stream.write(chunk)

    def _send(self, message: messages.PGMessage) -> None:
        self._output += self._protocol.send(message)

    def _ready(self) -> None:
        self._send(messages.ReadyForQuery(status=self._status))

    async def _dispatch(self, message: messages.PGMessage) -> None:
        if isinstance(message, messages.Sync):
            self._is_skipping = False
            self._ready()
            return
        if self._is_skipping:
            return
        handler = _HANDLERS.get(type(message))
        if handler is None:
            return
        try:
            await handler(self, message)
        except SqlError as error:
            await self._fail(error, message)

    async def _fail(self, error: SqlError, message: messages.PGMessage) -> None:
        fields = {
            'S': 'ERROR',
            'V': 'ERROR',
            'C': error.sqlstate,
            'M': str(error),
        }
        self._send(messages.ErrorResponse(fields=fields))
        if self._status != TransactionStatus.IDLE:
            await self._release_lock()
            self._status = TransactionStatus.ERROR_TRANSACTION
        if isinstance(message, messages.Query):
            self._ready()
        else:
            self._is_skipping = True

    async def _on_startup(self, message: messages.StartupMessage) -> None:
        await curio.sleep(self._shared.settings['connect_seconds'])
        limit = self._shared.settings['connections']
        if len(self._shared.cancels) > limit:
            self._send(
                messages.ErrorResponse(
                    fields={'S': 'FATAL', 'C': '53300', 'M': 'too many'}
                )
            )
            return
        self._scram = self._shared.settings['mechanism'].make_server(
            lambda _user: self._shared.settings['auth_info']
        )
        self._send(messages.AuthenticationSASL(mechanisms=['SCRAM-SHA-256']))

    async def _on_ssl(self, _message: messages.SSLRequest) -> None:
        self._send(messages.SSLResponse(accepted=False))

    async def _on_first(self, message: messages.SASLInitialResponse) -> None:
        text = message.data.decode()
        # libpq leaves the name empty, which this codec refuses, so a name
        # stands in while it parses and the sent text is what gets signed.
        self._scram.set_client_first(text.replace('n=,', 'n=user,', 1))
        self._scram.client_first_bare = text.split(',', 2)[2]
        reply = self._scram.get_server_first().encode()
        self._send(messages.AuthenticationSASLContinue(data=reply))

    async def _on_final(self, message: messages.SASLResponse) -> None:
        try:
            self._scram.set_client_final(message.data.decode())
        except Exception:
            fields = {'S': 'FATAL', 'C': '28P01', 'M': 'wrong password'}
            self._send(messages.ErrorResponse(fields=fields))
            return
        final = self._scram.get_server_final().encode()
        self._send(messages.AuthenticationSASLFinal(data=final))
        self._send(messages.AuthenticationOk())
        for name, setting in _PARAMETERS:
            self._send(messages.ParameterStatus(name=name, value=setting))
        secret = self._process_id.to_bytes(4)
        self._send(
            messages.BackendKeyData(
                process_id=self._process_id, secret_key=secret
            )
        )
        self._ready()

    async def _on_cancel(self, message: messages.CancelRequest) -> None:
        event = self._shared.cancels.get(message.process_id)
        if event is not None:
            await event.set()

    async def _on_query(self, message: messages.Query) -> None:
        if not message.query_string.strip(' ;'):
            self._send(messages.EmptyQueryResponse())
            self._ready()
            return
        for text in _split(message.query_string):
            answer = await self._run(sql.Statement(text))
            self._describe(answer)
            self._send_rows(answer)
        self._ready()

    async def _on_parse(self, message: messages.Parse) -> None:
        if message.statement and message.statement in self._statements:
            raise SqlError('42P05', 'prepared statement already exists')
        self._statements[message.statement] = message
        self._send(messages.ParseComplete())

    async def _on_bind(self, message: messages.Bind) -> None:
        parsed = self._statements.get(message.statement)
        if parsed is None:
            raise SqlError('26000', 'prepared statement does not exist')
        self._portals[message.portal] = sql.Statement(
            parsed.query, _decode_parameters(parsed, message)
        )
        self._send(messages.BindComplete())

    async def _on_describe(self, message: messages.Describe) -> None:
        if message.kind == 'S':
            await self._describe_statement(message.name)
            return
        portal = self._portals.get(message.name)
        if portal is None:
            raise SqlError('34000', 'portal does not exist')
        self._describe(self._peek(portal))

    async def _describe_statement(self, name: str) -> None:
        parsed = self._statements.get(name)
        if parsed is None:
            raise SqlError('26000', 'prepared statement does not exist')
        count = parsed.query.count('$')
        oids = list(parsed.param_types) or [25] * count
        self._send(messages.ParameterDescription(type_oids=oids))
        blank = sql.Statement(parsed.query, (None,) * count)
        self._describe(self._peek(blank))

    async def _on_execute(self, message: messages.Execute) -> None:
        portal = self._portals.get(message.portal)
        if portal is None:
            raise SqlError('34000', 'portal does not exist')
        if not portal.sql.strip(' ;'):
            self._send(messages.EmptyQueryResponse())
            return
        self._send_rows(await self._run(portal))

    async def _on_close(self, message: messages.Close) -> None:
        held = self._statements if message.kind == 'S' else self._portals
        held.pop(message.name, None)
        self._send(messages.CloseComplete())

    def _peek(self, statement: sql.Statement) -> sql.Rows:
        """Learn the columns by running the statement and undoing it."""
        if not statement.sql.strip(' ;'):
            return sql.Rows([], [], '')
        keyword = sql.find_keyword(statement.sql)
        if keyword in _CONTROL or group.parse_call(statement.sql):
            return sql.Rows([], [], keyword)
        has_rows = sql.is_read(statement.sql)
        if not has_rows and ' RETURNING ' not in statement.sql.upper():
            return sql.Rows([], [], keyword)
        return self._preview([*self._pending, statement])

    def _preview(self, statements: list[sql.Statement]) -> sql.Rows:
        try:
            return self._target.preview(statements)
        except sqlite3.Error as error:
            raise _translate(error) from error

    def _describe(self, answer: sql.Rows) -> None:
        if not answer.columns:
            if self._protocol.phase.name != 'SIMPLE_QUERY':
                self._send(messages.NoData())
            return
        fields = [
            messages.FieldDescription(name=name, type_oid=oid, type_size=-1)
            for name, oid in answer.columns
        ]
        self._send(messages.RowDescription(fields=fields))

    def _send_rows(self, answer: sql.Rows) -> None:
        for row in answer.rows:
            self._send(messages.DataRow(columns=row))
        self._send(messages.CommandComplete(tag=answer.tag))

    async def _run(self, statement: sql.Statement) -> sql.Rows:
        call = group.parse_call(statement.sql)
        if call is not None:
            return self._run_group(call)
        keyword = sql.find_keyword(statement.sql)
        if keyword in _CONTROL:
            return await self._control(keyword, statement)
        if self._status == TransactionStatus.ERROR_TRANSACTION:
            raise SqlError('25P02', 'current transaction is aborted')
        if not sql.is_read(statement.sql):
            # Waiting for a lock takes no slot, or those who wait would keep
            # its holder from going on.
            self._check_writable()
            await self._take_lock()
        try:
            async with self._shared.slots:
                await self._serve_time(statement)
                return await self._run_plain(statement)
        finally:
            if self._status == TransactionStatus.IDLE:
                await self._release_lock()

    def _run_group(self, call: group.Call) -> sql.Rows:
        try:
            return group.run_call(self._target, call)
        except engine.ReadOnlyError as error:
            raise SqlError('25006', str(error)) from error

    async def _serve_time(self, statement: sql.Statement) -> None:
        seconds = self._shared.settings['service_seconds']
        if 'pg_sleep(' in statement.sql:
            literal = statement.sql.split('pg_sleep(')[1].split(')')[0]
            seconds += float(literal)
        if not seconds:
            return
        cancel = self._shared.cancels[self._process_id]
        cancel.clear()
        try:
            async with curio.timeout_after(seconds):
                await cancel.wait()
        except curio.TaskTimeout:
            return
        raise SqlError('57014', 'canceling statement due to user request')

    async def _run_plain(self, statement: sql.Statement) -> sql.Rows:
        if sql.is_read(statement.sql):
            return self._preview([*self._pending, statement])
        self._check_writable()
        if self._status == TransactionStatus.IDLE:
            return self._commit([statement])
        answer = self._preview([*self._pending, statement])
        self._pending.append(statement)
        return answer

    def _check_writable(self) -> None:
        try:
            self._target.check_writable()
        except engine.ReadOnlyError as error:
            raise SqlError('25006', str(error)) from error

    def _commit(self, statements: list[sql.Statement]) -> sql.Rows:
        try:
            return self._target.commit(statements)
        except engine.ReadOnlyError as error:
            raise SqlError('25006', str(error)) from error
        except sqlite3.Error as error:
            raise _translate(error) from error

    async def _control(
        self, keyword: str, statement: sql.Statement
    ) -> sql.Rows:
        if keyword in {'BEGIN', 'START'}:
            self._status = TransactionStatus.IN_TRANSACTION
            return sql.Rows([], [], 'BEGIN')
        if keyword in {'COMMIT', 'END'}:
            return await self._commit_transaction()
        if keyword in {'ROLLBACK', 'ABORT'}:
            await self._end_transaction()
            return sql.Rows([], [], 'ROLLBACK')
        if keyword == 'DISCARD':
            self._statements.clear()
            self._portals.clear()
        return sql.Rows([], [], keyword)

    async def _commit_transaction(self) -> sql.Rows:
        is_failed = self._status == TransactionStatus.ERROR_TRANSACTION
        pending = self._pending
        self._pending = []
        self._status = TransactionStatus.IDLE
        try:
            if pending and not is_failed:
                self._commit(pending)
        finally:
            await self._release_lock()
        return sql.Rows([], [], 'ROLLBACK' if is_failed else 'COMMIT')

    async def _end_transaction(self) -> None:
        self._pending = []
        self._status = TransactionStatus.IDLE
        await self._release_lock()

    async def _take_lock(self) -> None:
        if self._holds_lock:
            return
        try:
            async with curio.timeout_after(_LOCK_SECONDS):
                await self._shared.write_lock.acquire()
        except curio.TaskTimeout as error:
            raise SqlError('55P03', 'lock not available') from error
        self._holds_lock = True

    async def _release_lock(self) -> None:
        if self._holds_lock:
            self._holds_lock = False
            await self._shared.write_lock.release()

    _holds_lock = False


def _split(text: str) -> list[str]:
    if ';' not in text:
        return [text]
    return [part for part in text.split(';') if part.strip()]


def _decode_parameters(
    parsed: messages.Parse, bind: messages.Bind
) -> tuple[sql.Parameter, ...]:
    formats = list(bind.param_formats)
    count = len(bind.param_values)
    if len(formats) < count:
        formats = (formats or [0]) * count
    oids = list(parsed.param_types) + [0] * count
    return tuple(
        sql.decode_parameter(raw, oid, form == 1)
        for raw, oid, form in zip(bind.param_values, oids, formats)
    )


def _translate(error: sqlite3.Error) -> SqlError:
    text = str(error)
    if 'no such table' in text:
        name = text.rsplit(' ', 1)[-1]
        return SqlError('42P01', f'relation "{name}" does not exist')
    if 'UNIQUE' in text:
        return SqlError('23505', 'duplicate key value violates unique')
    if 'already exists' in text:
        return SqlError('42P07', text)
    return SqlError('42601', text)


_CONTROL = frozenset(
    (
        'BEGIN',
        'START',
        'COMMIT',
        'END',
        'ROLLBACK',
        'ABORT',
        'DISCARD',
        'SET',
        'RESET',
        'DEALLOCATE',
    )
)
_PARAMETERS = (
    ('server_version', '16.0'),
    ('server_encoding', 'UTF8'),
    ('client_encoding', 'UTF8'),
    ('DateStyle', 'ISO, MDY'),
    ('TimeZone', 'UTC'),
    ('integer_datetimes', 'on'),
    ('standard_conforming_strings', 'on'),
)
_HANDLERS = {
    messages.StartupMessage: Session._on_startup,
    messages.SSLRequest: Session._on_ssl,
    messages.SASLInitialResponse: Session._on_first,
    messages.SASLResponse: Session._on_final,
    messages.CancelRequest: Session._on_cancel,
    messages.Query: Session._on_query,
    messages.Parse: Session._on_parse,
    messages.Bind: Session._on_bind,
    messages.Describe: Session._on_describe,
    messages.Execute: Session._on_execute,
    messages.Close: Session._on_close,
}


def make_mechanism() -> ScramMechanism:
    """Build the mechanism that all sessions share."""
    return ScramMechanism('SCRAM-SHA-256')
