"""Calls to an instance that is silent."""

import unittest

import curio
from curio import socket

from comfreystair.dialing import build_dialer
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions

CALL_SECONDS = 0.05
ROUNDS = 20


class SilentPeerTest(unittest.TestCase):
    """Its connection is given up while a task still reads from it."""

    def test_loop_survives_and_descriptors_are_used_again(self) -> None:
        """Each round closes a connection and opens others in its place."""
        self.assertEqual(curio.run(self._play), ROUNDS)

    async def _play(self) -> int:
        listening = socket.socket()
        listening.bind(('127.0.0.1', 0))
        listening.listen(ROUNDS)
        port = listening.getsockname()[1]
        peers = PeerClients(build_dialer(''), CALL_SECONDS, '')
        failed = 0
        async with listening:
            for _ in range(ROUNDS):
                failed += await self._call(peers, f'127.0.0.1:{port}')
                await self._use_descriptors()
        return failed

    async def _call(self, peers: PeerClients, address: str) -> int:
        try:
            await peers.call(
                address, 'identify', definitions.Empty(), definitions.Identity
            )
        except PeerError:
            return 1
        return 0

    async def _use_descriptors(self) -> None:
        pairs = [socket.socketpair() for _ in range(3)]
        for ours, theirs in pairs:
            reading = await curio.spawn(ours.recv, 1, daemon=True)
            writing = await curio.spawn(ours.sendall, b'x', daemon=True)
            await curio.sleep(0)
            await theirs.sendall(b'y')
            await reading.join()
            await writing.join()
            await ours.close()
            await theirs.close()


if __name__ == '__main__':
    unittest.main()
