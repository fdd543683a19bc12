"""Read the settings file over the defaults."""

import pathlib

import msgspec

from comfreystair.conf.exceptions import SettingsError
from comfreystair.conf.schema import Settings


def read_file(path: str) -> bytes:
    """Return the content of a settings file.

    :raises SettingsError: naming the file and the reason.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}', 'settings') from error


def load_settings(path: str) -> Settings:
    """Decode a settings file.

    :raises SettingsError: naming the path in the file, and the form expected.
    """
    try:
        return msgspec.json.decode(read_file(path), type=Settings)
    except msgspec.DecodeError as error:
        raise SettingsError(f'{path}: {error}', 'settings') from error
