"""Read the files that commands are given."""

import pathlib

from comfreystair.management.exceptions import CommandError
from comfreystair.manifest import (
    Manifest,
    ManifestError,
    decode_manifest,
)


def read_manifest(path: str) -> Manifest:
    """Read a manifest file.

    :raises CommandError: in one line.
    """
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise CommandError(f'{path}: {error.strerror}') from error
    try:
        return decode_manifest(content)
    except ManifestError as error:
        raise CommandError(f'{path}: {error}') from error
