"""What the tests with real processes share."""

import pathlib
import tempfile
import unittest

from standins.platform.deployment import Deployment


def start_deployment(
    case: unittest.TestCase, limits: dict | None = None
) -> Deployment:
    """Start two instances, which stop at the end of a test.

    :param limits: of the instances, as in their settings.
    """
    directory = tempfile.TemporaryDirectory()
    case.addCleanup(directory.cleanup)
    deployment = Deployment(pathlib.Path(directory.name), 2, limits=limits)
    case.addCleanup(deployment.stop)
    deployment.start()
    return deployment
