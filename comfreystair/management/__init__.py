"""The operators' command line."""

from comfreystair.management.cli import main

__all__ = ('main',)
