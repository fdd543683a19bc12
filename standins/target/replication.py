"""Pull the log of the primary and apply it after a lag."""

import json
import time

import curio

from standins import pgclient
from standins.target import engine, sql

_POLL_SECONDS = 0.004
_RETRY_SECONDS = 0.05
_CALL_SECONDS = 1


async def replicate(target: engine.Engine, credentials: dict) -> None:
    """Follow whichever primary the target was told to follow."""
    while True:
        followed = _find_followed(target)
        task = await curio.spawn(_follow, target, credentials, daemon=True)
        while _find_followed(target) == followed and not task.terminated:
            await curio.sleep(_POLL_SECONDS)
        await task.cancel()


def _find_followed(target: engine.Engine) -> tuple[str, int, str]:
    return target.role, target.term, target.primary_address


async def apply_late(target: engine.Engine, lag: dict[str, float]) -> None:
    """Apply received entries once they are older than the lag."""
    while True:
        ready = target.applied
        limit = time.monotonic() - lag['apply_seconds']
        while (
            ready < len(target.log) and target.log[ready].received_at <= limit
        ):
            ready += 1
        target.apply(ready)
        await curio.sleep(_POLL_SECONDS)


async def _follow(target: engine.Engine, credentials: dict) -> None:
    while True:
        try:
            await _follow_once(target, credentials)
        except (OSError, pgclient.QueryError, curio.TaskTimeout):
            await curio.sleep(_RETRY_SECONDS)


async def _follow_once(target: engine.Engine, credentials: dict) -> None:
    if target.role != engine.ROLE_REPLICA or not target.primary_address:
        await curio.sleep(_RETRY_SECONDS)
        return
    address = target.primary_address
    async with curio.timeout_after(_CALL_SECONDS):
        client = await pgclient.connect(
            address,
            {'user': credentials['user']},
            credentials['password'],
            credentials['source'],
        )
    try:
        await _pull(target, client, address)
    finally:
        await client.close()


async def _pull(
    target: engine.Engine, client: pgclient.Client, address: str
) -> None:
    while target.primary_address == address:
        term = target.term
        history = json.dumps(target.history)
        async with curio.timeout_after(_CALL_SECONDS):
            rows = await client.query(
                f'SELECT * FROM group_log({term}, {history})'
            )
        if not _may_receive(target, term):
            return
        _receive(target, json.loads(rows[0][0]))
        await curio.sleep(_POLL_SECONDS)


def _may_receive(target: engine.Engine, term: int) -> bool:
    is_replica = target.role == engine.ROLE_REPLICA
    return is_replica and target.term == term >= target.promised_term


def _receive(target: engine.Engine, payload: list) -> None:
    common, entries = payload
    now = time.monotonic()
    target.heard_at = now
    received = [
        engine.Entry(
            term,
            [sql.Statement(text, tuple(bound)) for text, bound in statements],
            now,
        )
        for term, statements in entries
    ]
    target.receive(common, received)
