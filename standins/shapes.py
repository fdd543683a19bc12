"""The two deployments of today."""

from standins.cluster import Shape

LARGE = (120.0, 60.0)
SMALL = (30.0, 15.0)

LIMA = Shape(
    name='lima',
    zones=('lima-a', 'lima-b', 'lima-c'),
    databases=('plazas', 'parks', 'transit'),
    daemons=15,
    slots=2,
    connections=35,
    organisations={
        'kiosks': LARGE,
        'phones': LARGE,
        'inspectors': LARGE,
        'counter-north': SMALL,
        'counter-south': SMALL,
        'counter-east': SMALL,
        'counter-west': SMALL,
        'archive': SMALL,
    },
    service_ms=4,
    lag_ms=20,
)
DAR = Shape(
    name='dar',
    zones=('dar-a', 'dar-b', 'dar-c', 'dar-d'),
    databases=('casting', 'booking', 'samples'),
    daemons=16,
    slots=3,
    connections=80,
    organisations={
        'producers': LARGE,
        'narrators': LARGE,
        'clerks': LARGE,
        'schools': SMALL,
        'publisher-a': SMALL,
        'publisher-b': SMALL,
        'studio-a': SMALL,
        'studio-b': SMALL,
    },
    service_ms=4,
    lag_ms=20,
)


def scale_down(shape: Shape) -> Shape:
    """Return one zone's worth of a deployment, for a demonstration."""
    return shape._replace(databases=shape.databases[:1], daemons=4)
