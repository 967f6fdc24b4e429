"""Every package can be imported first, without an import cycle."""

from __future__ import annotations

import ast
import pkgutil
import subprocess
import sys
from graphlib import TopologicalSorter
from pathlib import Path

import quetzaldeck

IMPORT_EACH_FIRST = """
import importlib, sys
for name in sys.argv[1:]:
    for loaded in [m for m in sys.modules if m.split(".")[0] == "quetzaldeck"]:
        del sys.modules[loaded]
    try:
        importlib.import_module(name)
    except ImportError as error:
        print(name, error)
"""


def test_every_package_can_be_imported_first() -> None:
    """Two packages import each other, and a program does not start.

    The cycle fails only if one of them is imported first, as the stand-ins did after a
    module was moved; tests that import more packages beforehand pass.
    """
    packages = [
        f"quetzaldeck.{module.name}"
        for module in pkgutil.iter_modules(quetzaldeck.__path__)
        if module.ispkg
    ]
    source = Path(quetzaldeck.__file__).parents[1]
    result = subprocess.run(
        [sys.executable, "-c", IMPORT_EACH_FIRST, *packages],
        cwd=source,
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout == ""


def list_imports(path: Path) -> set[str]:
    """:returns: modules that a module imports, also for annotations only"""
    modules: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            modules.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            for alias in node.names:
                member = f"{node.module}.{alias.name}"
                modules.add(member if is_module(member) else node.module)
    return modules


def is_module(name: str) -> bool:
    """:returns: whether a name is that of a module of quetzaldeck"""
    path = Path(quetzaldeck.__file__).parents[1].joinpath(*name.split("."))
    return path.with_suffix(".py").is_file() or (path / "__init__.py").is_file()


def test_exchange_between_vms_does_not_depend_on_the_state_of_its_vm() -> None:
    """The state holds what the exchange uses; the other way round is a cycle."""
    package = Path(quetzaldeck.__file__).parent / "entry" / "peers"
    for path in package.glob("*.py"):
        assert "quetzaldeck.entry.state" not in list_imports(path), path.name


def test_modules_of_the_bench_have_no_cycle() -> None:
    """An attempt, its engines and groups that name each other read as one module."""
    package = Path(quetzaldeck.__file__).parent / "bench"
    imports = {
        f"quetzaldeck.bench.{path.stem}": list_imports(path)
        for path in package.glob("*.py")
        if path.stem != "__init__"
    }
    TopologicalSorter(imports).prepare()


def test_parts_of_the_decisions_have_no_cycle() -> None:
    """Parts that name each other, if only in annotations, read as one module.

    A module that imports from the package itself depends on all of its parts.
    """
    package = Path(quetzaldeck.__file__).parent / "decisions"
    imports: dict[str, set[str]] = {}
    for path in package.rglob("*.py"):
        part = path.relative_to(package).parts[0].removesuffix(".py")
        names = [name.split(".") for name in list_imports(path)]
        imports.setdefault(part, set()).update(
            name[2] if len(name) > 2 else "__init__"
            for name in names
            if name[:2] == ["quetzaldeck", "decisions"]
        )
    for part, used in imports.items():
        used.discard(part)
    TopologicalSorter(imports).prepare()
