"""Play one seed: faults on a deployment, callers on top, then the checks."""

import functools
import pathlib
import signal
import tempfile
import threading
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from standins.platform.deployment import KEY, Deployment
from standins.soak.callers import OWN_WRITES, ItemCaller
from standins.soak.checks import check_runs
from standins.soak.faults import LINK_MODES, Fault, draw_faults

_CALLERS: Final = 6
# After the last fault every instance serves again within this time, in
# seconds: the platform's bound on recovery.
_RECOVER_SECONDS: Final = 12.0
_LOOK_SECONDS: Final = 0.1
# An instance that was told to end is gone within this time, in seconds.
_END_SECONDS: Final = 8.0


class Verdict(NamedTuple):
    """What a run showed."""

    seed: int
    served: int
    findings: tuple[str, ...]


def play(seed: int, seconds: float, instances: int = 3) -> Verdict:
    """Play a seed; the findings name each promise that was broken."""
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(
            pathlib.Path(directory), instances, has_proxy=True
        )
        try:
            deployment.start()
            return _play_on(deployment, seed, seconds, instances)
        finally:
            deployment.stop()


def _play_on(
    deployment: Deployment, seed: int, seconds: float, instances: int
) -> Verdict:
    callers = [
        ItemCaller(
            deployment,
            f'item{number}',
            seed,
            ('strict', OWN_WRITES)[number % 2],
        )
        for number in range(_CALLERS)
    ]
    for caller in callers:
        caller.start()
    _inject_all(deployment, draw_faults(seed, seconds, instances))
    findings = _check_recovery(deployment, instances)
    for caller in callers:
        caller.stop()
        findings.extend(caller.history.findings)
    seen = deployment.command()
    runs = [tuple(run) for one in seen['runs'].values() for run in one]
    refused = set().union(*(caller.history.refused for caller in callers))
    findings.extend(check_runs(runs, refused))
    tokens = [int(token) for _group, _ident, token in seen['promotions']]
    if tokens != sorted(tokens):
        findings.append(f'promotions with tokens {tokens}')
    for number in range(instances):
        if KEY in deployment.read_log(number):
            findings.append(f'a key in the log of instance {number}')
    return Verdict(
        seed, sum(caller.served for caller in callers), tuple(findings)
    )


def _inject_all(deployment: Deployment, faults: tuple[Fault, ...]) -> None:
    """Start each fault at its time and wait for the end of all."""
    began_at = time.monotonic()
    threads: list[threading.Thread] = []
    for fault in faults:
        time.sleep(max(began_at + fault.at - time.monotonic(), 0))
        thread = threading.Thread(
            target=_inject, args=(deployment, fault), daemon=True
        )
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()


def _inject(deployment: Deployment, fault: Fault) -> None:
    if fault.kind in LINK_MODES:
        rule = {
            'destination': fault.subject,
            'mode': fault.kind,
            'ms': fault.milliseconds,
        }
        deployment.add_rule(rule)
        time.sleep(fault.seconds)
        deployment.drop_rule(rule)
    elif fault.kind == 'crash':
        deployment.command(kill=fault.subject)
        time.sleep(fault.seconds)
        deployment.command(revive=fault.subject)
    else:
        _SIGNALLED[fault.kind](deployment, int(fault.subject), fault.seconds)


def _pause(deployment: Deployment, number: int, seconds: float) -> None:
    with deployment.hold_instance(number):
        deployment.signal(number, signal.SIGSTOP)
        time.sleep(seconds)
        deployment.signal(number, signal.SIGCONT)


def _restart(
    deployment: Deployment, number: int, seconds: float, ending: int
) -> None:
    with deployment.hold_instance(number):
        deployment.signal(number, ending)
        deployment.wait_for_end(number, _END_SECONDS)
        time.sleep(seconds)
        deployment.start_instance(number)


_SIGNALLED: Final[dict[str, Callable[[Deployment, int, float], None]]] = {
    'pause': _pause,
    'kill': functools.partial(_restart, ending=signal.SIGKILL),
    'terminate': functools.partial(_restart, ending=signal.SIGTERM),
}


def _check_recovery(deployment: Deployment, instances: int) -> list[str]:
    """Return the instances that do not serve a write in time."""
    give_up_at = time.monotonic() + _RECOVER_SECONDS
    missing = set(range(instances))
    while missing and time.monotonic() < give_up_at:
        for number in list(missing):
            if deployment.can_write(number):
                missing.discard(number)
        time.sleep(_LOOK_SECONDS)
    return [f'instance {number} does not serve again' for number in missing]
