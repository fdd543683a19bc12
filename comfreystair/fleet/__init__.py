"""Coordination of daemons.

They exchange manifests, membership, limit shares, tokens and slot limits.
"""

from comfreystair.fleet.gossip import Gossiper
from comfreystair.fleet.limit_shares import LimitShareCoordinator
from comfreystair.fleet.manifest_updater import ManifestUpdater
from comfreystair.fleet.slot_limits import SlotLimitCoordinator
from comfreystair.fleet.token_lending import TokenLender

__all__ = (
    'Gossiper',
    'TokenLender',
    'ManifestUpdater',
    'LimitShareCoordinator',
    'SlotLimitCoordinator',
)
