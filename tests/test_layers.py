"""Packages are layered: none imports a package of a higher layer."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import wigeonpier

ROOT = Path(wigeonpier.__file__).parent
# Lowest layer first; packages of one layer do not import each other.
LAYERS = (
    ('models', 'records', 'reports', 'errors', 'served'),
    ('telemetry',),
    ('invariants',),
    ('loops',),
    ('web',),
    ('policy', 'settings', 'disk'),
    ('platform',),
    ('batch',),
    ('membership',),
    ('process',),
    ('entry', 'local', 'hosted'),
    ('bench',),
    ('cli',),
)
RANKS = {
    package: rank
    for rank, packages in enumerate(LAYERS)
    for package in packages
}


def list_imports(source: Path) -> set[str]:
    """List the packages of the project that a module imports."""
    tree = ast.parse(source.read_text(encoding='utf-8'))
    return {
        node.module.split('.')[1]
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        and node.module
        and node.module.startswith('wigeonpier.')
    }


@pytest.mark.parametrize('package', sorted(RANKS))
def test_no_package_imports_a_higher_layer(package: str) -> None:
    module = ROOT / f'{package}.py'
    sources = [module] if module.exists() else (ROOT / package).rglob('*.py')
    upward = {
        (str(source.relative_to(ROOT)), imported)
        for source in sources
        for imported in list_imports(source) - {package}
        if RANKS[imported] >= RANKS[package]
    }
    assert not upward


def test_each_package_has_a_layer() -> None:
    found = {
        path.stem
        for path in ROOT.iterdir()
        if path.is_dir() or path.suffix == '.py'
    }
    assert found - {'__init__', '__pycache__', 'examples', 'py'} == set(RANKS)
