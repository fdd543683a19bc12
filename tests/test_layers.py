"""Core packages know nothing of outer ones; controllers do no I/O."""

import ast
import pathlib
import subprocess
import sys
import unittest

PACKAGE = pathlib.Path(__file__).parent.parent / 'comfreystair'
FORBIDDEN = frozenset(
    (
        'asyncio',
        'curio',
        'h11',
        'loguru',
        'os',
        'pathlib',
        'pygwire',
        'random',
        'secrets',
        'select',
        'selectors',
        'signal',
        'socket',
        'ssl',
        'statsd',
        'subprocess',
        'threading',
        'thriftpy2',
        'time',
    )
)
OUTER = ('callers', 'daemon', 'fleet', 'filters', 'management')


def list_imports(path: pathlib.Path) -> set[str]:
    """Return the full names of what a module imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
            names.update(f'{node.module}.{alias.name}' for alias in node.names)
    return names


class LayersTest(unittest.TestCase):
    """What each layer may import."""

    def test_controllers_are_pure(self) -> None:
        """Controllers import no I/O, clock or random source."""
        for path in (PACKAGE / 'controllers').rglob('*.py'):
            tops = {name.split('.')[0] for name in list_imports(path)}
            self.assertEqual(tops & FORBIDDEN, set(), path.name)

    def test_core_knows_nothing_of_outer_layers(self) -> None:
        """Inner packages do not import outer ones."""
        for inner in ('controllers', 'manifest', 'wire', 'targets', 'routing'):
            for path in (PACKAGE / inner).glob('*.py'):
                for name in list_imports(path):
                    parts = name.split('.')
                    is_outer = parts[0] == 'comfreystair' and (
                        len(parts) > 1 and parts[1] in OUTER
                    )
                    self.assertFalse(is_outer, f'{path.name}: {name}')

    def test_neutral_core_knows_no_protocol(self) -> None:
        """Sessions, pools and coordination import neither edge."""
        edges = {'platform', 'callers', 'targets', 'wire', 'filters', 'etcd'}
        for package in ('sessions', 'pooling', 'coordination'):
            for path in (PACKAGE / package).glob('*.py'):
                for name in list_imports(path):
                    top, *rest = name.split('.')
                    is_edge = top == 'comfreystair' and edges & set(rest[:1])
                    self.assertFalse(is_edge, f'{path.name}: {name}')

    def test_entry_loads_no_library_of_the_other_edge(self) -> None:
        """An entry instance starts without PostgreSQL, traces and statsd."""
        script = 'import sys, comfreystair.entry; print(*sys.modules)'
        loaded = subprocess.run(
            [sys.executable, '-c', script],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        unwanted = {'opentelemetry', 'pglast', 'pygwire', 'scramp', 'statsd'}
        self.assertEqual(unwanted & set(loaded), set())

    def test_product_never_imports_stand_ins(self) -> None:
        """Nothing of the product depends on the stand-ins."""
        for path in PACKAGE.rglob('*.py'):
            tops = {name.split('.')[0] for name in list_imports(path)}
            self.assertNotIn('standins', tops, path.name)


if __name__ == '__main__':
    unittest.main()
