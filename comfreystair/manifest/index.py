"""A manifest as requests look things up in it."""

from comfreystair.manifest.schema import (
    Database,
    Manifest,
    Organisation,
    Policy,
    Route,
    Service,
)


class ManifestIndex:
    """Look up the entries of one generation of the manifest."""

    def __init__(self, generation: int, manifest: Manifest) -> None:
        """Index the entries by name."""
        self._generation = generation
        self._manifest = manifest
        self._organisations = {one.name: one for one in manifest.organisations}
        self._services = {one.database: one for one in manifest.services}
        self._routes = {
            (service.database, route.name): route
            for service in manifest.services
            for route in service.routes
        }
        self._members = {
            (service.database, name)
            for service in manifest.services
            for name in service.organisations
        }
        self._keys = {
            (organisation.name, key.id)
            for organisation in manifest.organisations
            for key in organisation.keys
        }
        self._open = {
            service.database
            for service in manifest.services
            for route in service.routes
            if route.is_open
        }

    @property
    def generation(self) -> int:
        """Return the generation of the manifest."""
        return self._generation

    @property
    def manifest(self) -> Manifest:
        """Return the manifest itself."""
        return self._manifest

    @property
    def policy(self) -> Policy:
        """Return what happens while the manifest is unconfirmed."""
        return self._manifest.policy

    @property
    def databases(self) -> tuple[Database, ...]:
        """Return all databases."""
        return self._manifest.databases

    def find_organisation(self, name: str) -> Organisation | None:
        """Return an organisation by name."""
        return self._organisations.get(name)

    def find_service(self, database: str) -> Service | None:
        """Return the service of a database."""
        return self._services.get(database)

    def find_route(self, database: str, name: str) -> Route | None:
        """Return a named route of a database."""
        return self._routes.get((database, name))

    def may_use(self, database: str, organisation: str) -> bool:
        """Tell whether an organisation may use a database."""
        return (database, organisation) in self._members

    def has_key(self, organisation: str, key_id: str) -> bool:
        """Tell whether a key is in force."""
        return (organisation, key_id) in self._keys

    def has_open_route(self, database: str) -> bool:
        """Tell whether callers without a key may connect to a database."""
        return database in self._open


class ManifestHolder:
    """The manifest in force, replaced as a whole."""

    def __init__(self) -> None:
        """Start without a manifest."""
        self._current: ManifestIndex | None = None

    @property
    def current(self) -> ManifestIndex | None:
        """Return the manifest in force, if there is one yet."""
        return self._current

    def replace(self, index: ManifestIndex) -> None:
        """Put a newer manifest in force."""
        self._current = index
