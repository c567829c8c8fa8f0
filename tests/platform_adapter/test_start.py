"""`deploy/start.py`: modules are imported from a role's bundle file where there is one."""

import marshal
import sys
from pathlib import Path

import pytest

DEPLOY = Path(__file__).resolve().parents[2] / "deploy"
FILES = {
    "startsample": (True, "/nowhere/startsample/__init__.py", "NAME = __name__"),
    "startsample.part": (False, "/nowhere/startsample/part.py", "from startsample import NAME"),
}


@pytest.fixture
def start(monkeypatch):
    monkeypatch.syspath_prepend(str(DEPLOY))
    monkeypatch.setattr(sys, "meta_path", list(sys.meta_path))
    yield __import__("start")
    for name in (*FILES, "start"):
        sys.modules.pop(name, None)


def write_file(folder, role):
    modules = {
        name: (is_package, origin, marshal.dumps(compile(source, origin, "exec")))
        for name, (is_package, origin, source) in FILES.items()
    }
    (folder / "target").mkdir()
    path = folder / "target" / f"{role}.{sys.implementation.cache_tag}"
    path.write_bytes(marshal.dumps(modules))


def test_modules_and_packages_are_found_by_name(start, tmp_path):
    write_file(tmp_path, "agent")
    start.install(str(tmp_path), "agent")
    part = __import__("startsample.part").part
    assert part.NAME == "startsample"
    assert part.__file__ == "/nowhere/startsample/part.py"


def test_a_module_that_is_not_in_the_file_is_found_as_usual(start, tmp_path):
    write_file(tmp_path, "agent")
    start.install(str(tmp_path), "agent")
    assert __import__("json").loads("1") == 1


def test_without_a_file_nothing_changes(start, tmp_path):
    before = list(sys.meta_path)
    start.install(str(tmp_path), "agent")
    assert sys.meta_path == before
