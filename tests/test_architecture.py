"""The architecture page refers only to existing code, and packages import only from their own or lower layers."""

from __future__ import annotations

import ast
import importlib
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()
NAMES = sorted(set(re.findall(r"`(winchdyke(?:\.\w+)+)`", PAGE)))

# From the lowest layer to the highest: a package imports its own layer's or lower ones.
LAYERS = (
    {"peer_limits"},
    {"interface", "placement", "http1", "durable_files"},
    {"scheduling", "config", "settings"},
    {"config_rollout", "discovery", "quotas", "latency_attribution", "writeback", "object_api", "auth"},
    {"membership", "admin"},
    {"gateway"},
    {"platform", "s3", "benchlink"},
    {"days", "load", "model", "standins"},
    {"cli"},
)
LEVEL = {package: level for level, packages in enumerate(LAYERS) for package in packages}
# The daemon composes the program, so it alone imports the S3 API, which stands above the gateway.
COMPOSITION = {("gateway/daemon.py", "s3")}


def resolve(name: str) -> object:
    """Return the module, class, function or method of a dotted name; AttributeError if there is none."""
    parts = name.split(".")
    for length in range(len(parts), 0, -1):
        try:
            found: object = importlib.import_module(".".join(parts[:length]))
        except ModuleNotFoundError:
            continue
        for part in parts[length:]:
            found = getattr(found, part)
        return found
    raise AttributeError(name)


def imported_packages(path: Path) -> set[str]:
    """Return the packages of winchdyke that a module imports, also within functions."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module == "winchdyke":
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("winchdyke."):
            found.add((node.module or "").split(".")[1])
    return found


@pytest.mark.parametrize("name", NAMES)
def test_each_name_on_the_page_exists(name):
    resolve(name)


def test_the_page_names_all_components_on_the_path_of_a_request():
    assert len(NAMES) > 50


@pytest.mark.parametrize("package", sorted(LEVEL))
def test_packages_import_only_from_their_own_or_lower_layers(package):
    folder = ROOT / "winchdyke" / package
    modules = sorted(folder.rglob("*.py")) if folder.is_dir() else [folder.with_suffix(".py")]
    upward = []
    for path in modules:
        module = path.relative_to(ROOT / "winchdyke").as_posix()
        for other in imported_packages(path):
            is_composition = (module, other) in COMPOSITION
            if LEVEL[other] > LEVEL[package] and not is_composition:
                upward.append(f"{module} imports {other}")
    assert upward == []
