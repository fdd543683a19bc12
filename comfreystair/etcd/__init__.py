"""Client of a store that speaks the JSON interface of etcd version 3."""

from comfreystair.etcd.exceptions import PlatformError
from comfreystair.etcd.instances import Instance, list_instances
from comfreystair.etcd.store import Pair, Store

__all__ = ('Instance', 'Pair', 'PlatformError', 'Store', 'list_instances')
