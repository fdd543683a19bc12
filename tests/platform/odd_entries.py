"""Entries that another writer may leave among those of the targets."""

import json

USABLE = {
    'Service': 'permits',
    'Addr': '127.0.0.1:5000',
    'Zone': 'lima-a',
    'Version': 'v1',
    'Slots': 4,
    'State': 'ready',
    'ColdLeftMs': 0,
    'Seq': 1,
    'DbRole': 'replica',
    'born': 1,
}
# Values that no field of an entry can have.
_ODD_VALUES = (None, True, -1, 1.5, '', [], {}, 'a b', 'a\r\nb', '\u2028')
_HUGE_NUMBERS = ('1e999', '1' * 30, '1' * 5000, '-' + '9' * 5000, '1e-999')
_ADDRESSES = (
    '127.0.0.1:99999',
    '127.0.0.1:0',
    '127.0.0.1:-1',
    '127.0.0.1:' + '1' * 5000,
    '127.0.0.1:\u0661\u0662',
    '127.0.0.1:',
    ':5000',
    'no-number.example:5000',
    '300.1.1.1:5000',
    '[::1]:5000',
    '\udcff:5000',
    'bücher:5000',
)


def list_odd_blobs() -> list[bytes]:
    """Return entries of which none names a target that can be used."""
    blobs = [
        b'',
        b'\xff\xfe\x00',
        b'null',
        b'[]',
        b'{',
        b'{"Labels":' + b'[' * 4000,
        b'{"Labels":' + b'[' * 100000 + b']' * 100000 + b'}',
        b'{"a":' * 4000 + b'1' + b'}' * 4000,
        b'\x00' * 1000,
    ]
    for field in ('Service', 'Addr', 'Zone', 'State', 'DbRole'):
        blobs += [_encode(field, odd) for odd in _ODD_VALUES]
    for field in ('Slots', 'Seq', 'born'):
        blobs += [_encode(field, odd) for odd in ('1', None, [], -1, 1.5)]
        blobs += [_insert(field, number) for number in _HUGE_NUMBERS]
    for odd in ('1', None, [], -1):
        blobs.append(_encode('ColdLeftMs', odd))
    blobs += [_insert('ColdLeftMs', number) for number in _HUGE_NUMBERS[:4]]
    blobs += [_encode('Addr', address) for address in _ADDRESSES]
    blobs += [_encode('State', 'gone'), _encode('Slots', 0)]
    blobs += [_remove(field) for field in ('Service', 'Addr', 'Slots', 'State')]
    return blobs


def _encode(field: str, value: object) -> bytes:
    return json.dumps({**USABLE, field: value}).encode()


def _insert(field: str, number: str) -> bytes:
    """Return an entry with a number that Python's encoder would refuse."""
    marked = json.dumps({**USABLE, field: '@'})
    return marked.replace('"@"', number).encode()


def _remove(field: str) -> bytes:
    return json.dumps(
        {name: value for name, value in USABLE.items() if name != field}
    ).encode()
