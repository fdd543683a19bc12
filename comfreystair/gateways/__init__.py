"""Statements forwarded to the instances that hold a target's connections."""

from comfreystair.gateways.client import GatewayClient, PinnedTransaction
from comfreystair.gateways.selector import GatewaySelector
from comfreystair.gateways.service import GatewayService

__all__ = (
    'GatewayClient',
    'GatewaySelector',
    'GatewayService',
    'PinnedTransaction',
)
