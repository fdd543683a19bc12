"""The manifest: its form, its checks, its differences, its storage."""

from comfreystair.manifest.checks import check_manifest
from comfreystair.manifest.chunks import Root, join_chunks, split_manifest
from comfreystair.manifest.codec import decode_manifest, encode_manifest
from comfreystair.manifest.diff import Difference, diff_manifests
from comfreystair.manifest.exceptions import ChunkError, ManifestError
from comfreystair.manifest.schema import (
    Database,
    Key,
    Manifest,
    Organisation,
    Policy,
    Route,
    Service,
    Target,
)

__all__ = (
    'ChunkError',
    'Database',
    'Difference',
    'Key',
    'Manifest',
    'ManifestError',
    'Organisation',
    'Policy',
    'Root',
    'Route',
    'Service',
    'Target',
    'check_manifest',
    'decode_manifest',
    'diff_manifests',
    'encode_manifest',
    'join_chunks',
    'split_manifest',
)
