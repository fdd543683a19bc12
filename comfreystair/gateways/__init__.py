"""Statements handed to the instances that hold a target's connections."""

from comfreystair.gateways.book import GatewayBook
from comfreystair.gateways.relay import Pinned, Relay
from comfreystair.gateways.service import GatewayService

__all__ = ('GatewayBook', 'GatewayService', 'Pinned', 'Relay')
