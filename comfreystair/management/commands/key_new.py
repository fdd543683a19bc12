"""``comfreystair key new``."""

import base64
import binascii
import secrets
from typing import Final

import click

from comfreystair.callers.keys import make_verifier
from comfreystair.management.output import fail, json_option, print_document

_KEY_BYTES: Final = 24
_SALT_BYTES: Final = 16
_ITERATIONS: Final = 4096


@click.command('new')
@click.argument('organisation')
@click.option('--id', 'key_id', default='', help='Name of the key.')
@click.option(
    '--salt', default='', help='Salt of the organisation, when it has one.'
)
@click.option('--iterations', default=_ITERATIONS, show_default=True)
@json_option
def command(
    organisation: str, key_id: str, salt: str, iterations: int, is_json: bool
) -> None:
    """Make a key: print it once, and the verifier for the manifest.

    Further keys of an organisation need the salt of its first.
    """
    try:
        raw_salt = base64.b64decode(salt, validate=True)
    except binascii.Error:
        fail('--salt must be base64')
    raw_salt = raw_salt or secrets.token_bytes(_SALT_BYTES)
    if iterations < _ITERATIONS:
        fail(f'--iterations must be at least {_ITERATIONS}')
    new_key = secrets.token_urlsafe(_KEY_BYTES)
    stored_key, server_key = make_verifier(new_key, raw_salt, iterations)
    document = {
        'organisation': organisation,
        'key': new_key,
        'salt': base64.b64encode(raw_salt).decode(),
        'iterations': iterations,
        'verifier': {
            'id': key_id or secrets.token_hex(4),
            'stored_key': stored_key,
            'server_key': server_key,
        },
    }
    if is_json:
        print_document(document)
        return
    click.echo(f'key of {organisation}, shown this once: {new_key}')
    click.echo(f'salt: {document["salt"]}')
    click.echo('verifier for the manifest:')
    print_document(document['verifier'])
