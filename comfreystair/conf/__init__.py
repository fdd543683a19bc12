"""Settings of one instance: defaults, a file, checks."""

from comfreystair.conf.checks import Finding, check_settings
from comfreystair.conf.exceptions import SettingsError
from comfreystair.conf.loader import load_settings
from comfreystair.conf.schema import Settings

__all__ = (
    'Finding',
    'Settings',
    'SettingsError',
    'check_settings',
    'load_settings',
)
