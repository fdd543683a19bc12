"""The platform's lagging list of live and leaving instances."""

from typing import Literal, NamedTuple

import msgspec

from comfreystair.dialing import Dial
from comfreystair.etcd.exceptions import PlatformError
from comfreystair.etcd.http import post_json

InstanceState = Literal['live', 'leaving']


class Instance(NamedTuple):
    """One instance as the platform lists it.

    :param address: ``host:port`` for messages between daemons.
    """

    name: str
    zone: str
    address: str
    state: InstanceState = 'live'


class _Listed(msgspec.Struct):
    name: str
    zone: str
    address: str
    state: InstanceState = 'live'


async def list_instances(
    dial: Dial, address: str, seconds: float
) -> list[Instance]:
    """Read the list.

    :raises PlatformError: when the platform does not answer.
    """
    answer = await post_json(dial, address, '/instances', {}, seconds)
    try:
        listed = msgspec.convert(answer['instances'], list[_Listed])
    except (msgspec.ValidationError, KeyError) as error:
        raise PlatformError(str(error), 'instances', address) from error
    return [
        Instance(one.name, one.zone, one.address, one.state) for one in listed
    ]
