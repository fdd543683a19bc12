"""Connections of callers: login, sessions, cancel."""

from comfreystair.callers.server import CallerServer

__all__ = ('CallerServer',)
