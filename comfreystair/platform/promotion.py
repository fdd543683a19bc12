"""The platform's call that makes a target the primary of its group."""

from typing import Final

from comfreystair.platform.exceptions import PlatformError
from comfreystair.platform.http import HttpClient

_OK: Final = 200
_NOT_RUNNING: Final = 409
_HOLDER: Final = 'X-Comfreystair-Lease-Holder'
_TOKEN: Final = 'X-Comfreystair-Fencing-Token'  # noqa: S105


class Promoter:
    """Order promotions, each under a lease."""

    def __init__(self, http: HttpClient, holder: str, seconds: float) -> None:
        """Take the client.

        :param holder: this instance's name.
        :param seconds: bound on a call.
        """
        self._http = http
        self._holder = holder
        self._seconds = seconds

    async def promote(self, group: str, target: str, token: int) -> bool:
        """Order a promotion; false when the target does not run.

        :param token: rises with each holder of the duty.
        :raises PlatformError: the outcome is unknown.
        """
        reply = await self._http.call(
            'POST',
            '/promote',
            self._seconds,
            {'Service': group, 'Id': target},
            ((_HOLDER, self._holder), (_TOKEN, str(token))),
        )
        if reply.status == _NOT_RUNNING:
            return False
        if reply.status != _OK:
            raise PlatformError(f'status {reply.status}', 'promote', target)
        return True
