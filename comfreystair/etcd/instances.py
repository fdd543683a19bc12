"""The platform's lagging list of live and leaving instances."""

from typing import Literal, NamedTuple

import msgspec

from comfreystair.dialing import Dial, split_address
from comfreystair.etcd.exceptions import PlatformError
from comfreystair.etcd.http import post_json
from comfreystair.tasks import contain_errors, describe_error

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
    """Read the list; an item that can't be used is left out and logged.

    :raises PlatformError: when the platform does not answer.
    """
    answer = await post_json(dial, address, '/instances', {}, seconds)
    try:
        listed = list(answer['instances'])
    except (TypeError, KeyError) as error:
        reason = describe_error(error)
        raise PlatformError(reason, 'instances', address) from error
    found: list[Instance] = []
    for item in listed:
        with contain_errors('list_instance', address):
            found.append(_convert(item))
    return found


def _convert(item: object) -> Instance:
    one = msgspec.convert(item, _Listed)
    split_address(one.address)
    return Instance(one.name, one.zone, one.address, one.state)
