"""The line protocol as the stand-in's targets speak it."""

import curio

from standins.platform.group import Copy, Group


class TargetSession:
    """One connection at one target."""

    def __init__(self, group: Group, copy: Copy, tenant: str) -> None:
        """Start outside a transaction."""
        self._group = group
        self._copy = copy
        self._tenant = tenant
        self._writes: dict[str, str] | None = None
        self._is_read_only = False
        self._prepared: dict[str, str] = {}
        self._values: dict[str, str] = {}

    def answer(self, ident: str, text: str) -> str:
        """Run one statement and return the whole answer.

        Empty when a commit is never acknowledged.
        """
        if text.startswith('AFTER '):
            _, floor, text = text.split(' ', 2)
            if not self._holds(floor):
                return self._fail('LAGGING')
        word, _, rest = text.partition(' ')
        handler = getattr(self, f'_do_{word.lower()}', None)
        if handler is None:
            return self._fail('MALFORMED')
        return handler(ident, rest)

    def _do_read(self, ident: str, rest: str) -> str:
        self._note(ident, f'READ {rest}')
        pending = self._writes or {}
        row = pending.get(rest) or self._copy.read(rest, self._group.lag)
        return self._done(ident, row)

    def _do_write(self, ident: str, rest: str) -> str:
        if not self._copy.is_primary or self._is_read_only:
            return self._fail('READONLY')
        item, _, data = rest.partition(' ')
        self._note(ident, f'WRITE {rest}')
        if self._writes is None:
            if not self._group.commit(self._copy, {item: data}):
                return ''
        else:
            self._writes[item] = data
        return self._done(ident)

    def _do_execute(self, ident: str, rest: str) -> str:
        name, _, argument = rest.partition(' ')
        mode = self._prepared.get(name)
        if mode is None:
            return self._fail('NOSTMT')
        if mode == 'READ':
            return self._do_read(ident, argument)
        return self._do_write(ident, argument)

    def _do_begin(self, ident: str, rest: str) -> str:
        self._is_read_only = rest == 'READ'
        if not self._copy.is_primary and not self._is_read_only:
            return self._fail('READONLY')
        self._writes = {}
        return self._done('-')

    def _do_commit(self, ident: str, _rest: str) -> str:
        writes, self._writes = self._writes, None
        self._is_read_only = False
        if writes and not self._copy.is_primary:
            return self._fail('READONLY')
        if writes and not self._group.commit(self._copy, writes):
            return ''
        self._note(ident, 'COMMIT')
        return self._done(ident)

    def _do_rollback(self, _ident: str, _rest: str) -> str:
        self._writes = None
        self._is_read_only = False
        return self._done('-')

    def _do_set(self, _ident: str, rest: str) -> str:
        name, _, text = rest.partition(' ')
        self._values[name] = text
        return self._done('-')

    def _do_reset(self, _ident: str, _rest: str) -> str:
        self._values.clear()
        self._prepared.clear()
        return self._done('-')

    def _do_prepare(self, _ident: str, rest: str) -> str:
        name, mode, _shape = rest.split(' ', 2)
        self._prepared[name] = mode
        return self._done('-')

    def _do_stepdown(self, ident: str, rest: str) -> str:
        if int(rest) > self._copy.term:
            self._copy.is_primary = False
        return self._do_status(ident, '')

    def _do_status(self, _ident: str, _rest: str) -> str:
        copy = self._copy
        if copy.is_busy:
            return self._fail('BUSY')
        role = 'primary' if copy.is_primary else 'replica'
        row = f'{role} {copy.term} {copy.term}.{len(copy.log)} 0 0 0 0'
        return self._done('-', row)

    def _holds(self, floor: str) -> bool:
        term, _, number = floor.partition('.')
        applied = len(self._copy.list_applied(self._group.lag))
        return (self._copy.term, applied) >= (int(term), int(number))

    def _note(self, ident: str, text: str) -> None:
        self._copy.runs.append((ident, self._tenant, text))

    def _done(self, ident: str, row: str = '') -> str:
        signature = '-' if ident == '-' else f'{self._copy.ident}.{ident}'
        shown = f'ROW {row}\r\n' if row else ''
        return f'{shown}COMPLETE {signature}\r\n{self._ready()}'

    def _fail(self, code: str) -> str:
        return f'ERROR {code} {self._copy.ident}\r\n{self._ready()}'

    def _ready(self) -> str:
        state = 'I' if self._writes is None else 'T'
        applied = len(self._copy.list_applied(self._group.lag))
        return f'READY {state} {self._copy.term}.{applied}\r\n'


async def read_lines(client):
    """Yield what ends at CR LF; a line feed alone is part of a line."""
    pending = b''
    while chunk := await client.recv(65536):
        *lines, pending = (pending + chunk).split(b'\r\n')
        for line in lines:
            yield line.decode()


async def serve_target(client, group: Group, copy: Copy) -> None:
    """Serve one connection until the target goes down or it is closed."""
    async with client:
        lines = read_lines(client)
        words = (await anext(lines, '')).split()
        if not copy.is_up or words[:2] != ['STARTUP', group.name]:
            await client.sendall(b'ERROR WRONGNODE -\r\n')
            return
        session = TargetSession(group, copy, words[2])
        await client.sendall(b'READY I -\r\n')
        async for line in lines:
            if not copy.is_up:
                return
            _, ident, text = line.split(' ', 2)
            await curio.sleep(0.001)
            await client.sendall(session.answer(ident, text).encode())
