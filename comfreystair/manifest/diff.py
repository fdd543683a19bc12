"""Tell two manifests apart, entry by entry."""

from typing import Literal, NamedTuple

import msgspec

from comfreystair.manifest.schema import Manifest

_SECRET_FIELDS = frozenset(('stored_key', 'server_key', 'salt'))

Change = Literal['added', 'removed', 'changed']


class Difference(NamedTuple):
    """One change.

    :param path: such as ``organisations.blue.rate``.
    :param before: absent when the entry was added.
    :param after: absent when the entry was removed.
    """

    change: Change
    path: str
    before: object = None
    after: object = None


def diff_manifests(before: Manifest, after: Manifest) -> list[Difference]:
    """Return what changed, in the order of paths; verifiers are masked."""
    old = dict(_flatten('', msgspec.to_builtins(before)))
    new = dict(_flatten('', msgspec.to_builtins(after)))
    changes = []
    for path in sorted(old.keys() | new.keys()):
        if path not in old:
            changes.append(Difference('added', path, None, new[path]))
        elif path not in new:
            changes.append(Difference('removed', path, old[path], None))
        elif old[path] != new[path]:
            changes.append(_build_change(path, old[path], new[path]))
    return changes


def _build_change(path: str, old: object, new: object) -> Difference:
    if path.rsplit('.', 1)[-1] in _SECRET_FIELDS:
        return Difference('changed', path, '(masked)', '(masked)')
    return Difference('changed', path, old, new)


def _flatten(path: str, node: object) -> list[tuple[str, object]]:
    if isinstance(node, dict):
        pairs = list(node.items())
    elif isinstance(node, list | tuple):
        pairs = [
            (_name_entry(index, one), one) for index, one in enumerate(node)
        ]
    else:
        return [(path, node)]
    flat = []
    for name, child in pairs:
        child_path = f'{path}.{name}' if path else str(name)
        flat.extend(_flatten(child_path, child))
    return flat


def _name_entry(index: int, entry: object) -> str:
    if isinstance(entry, dict):
        return str(entry.get('name', entry.get('id', index)))
    return str(entry)
