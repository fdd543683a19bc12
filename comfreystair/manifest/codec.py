"""Decode and encode manifests as JSON."""

import msgspec

from comfreystair.manifest.exceptions import ManifestError
from comfreystair.manifest.schema import Manifest
from comfreystair.tasks import describe_error


def decode_manifest(content: bytes) -> Manifest:
    """Decode a manifest.

    :raises ManifestError: naming the path, the form found and expected.
    """
    try:
        return msgspec.json.decode(content, type=Manifest)
    except Exception as error:
        raise ManifestError(describe_error(error), step='manifest') from error


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest; the same manifest gives the same bytes."""
    return msgspec.json.encode(manifest, order='deterministic')
