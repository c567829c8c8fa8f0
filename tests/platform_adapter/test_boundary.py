"""The boundary between product and platform, and the modules that each role loads.

Words and modules of the platform appear only in `platform/`, which stays small; a role imports no
heavy library, and a node imports neither consensus nor control.
"""

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PLATFORM_WORDS = (
    "JASPERWALK_NODE_FILE",
    "datagramAddr",
    "outbound",
    "internalPorts",
    "machineClass",
    "dataDir",
    "heartbeatMs",
    "heartbeatUrl",
    "callSeq",
    "coldLeftMs",
    "pathPrefix",
    "routeType",
    "timeoutMs",
    "targetLatencyMs",
    "idleTimeoutMs",
    "maxAttempts",
    "flowMaxS",
    "coldS",
    "warmupPerS",
    "coldSlack",
    "evacuateMs",
    "allowedRegions",
    "/evacuations",
    "graceS",
    "/instances/",
    "/readiness",
    "/config",
    "BOUNCED",
    "fleetbench",
)
MAX_LINES = 1000
HEAVY_LIBRARIES = ("aiohttp", "aioquic", "cryptography", "pydantic", "click", "rich", "matplotlib")
LOAD = """
import sys
sys.path[:0] = [{platform!r}, {source!r}]
import {module}
print("\\n".join(sorted(sys.modules)))
"""


def product_files():
    return sorted((ROOT / "src" / "jasperwalk").rglob("*.py"))


@pytest.mark.parametrize("word", PLATFORM_WORDS)
def test_the_product_knows_no_word_of_the_platform(word):
    found = [
        str(path)
        for path in product_files()
        if re.search(re.escape(word) + r"\b", path.read_text())
    ]
    assert found == []


def test_the_product_imports_nothing_of_the_adapter():
    names = [path.stem for path in (ROOT / "platform").glob("*.py")]
    pattern = re.compile(rf"^\s*(from|import) ({'|'.join(names)})\b", re.MULTILINE)
    assert [str(path) for path in product_files() if pattern.search(path.read_text())] == []


def test_the_adapter_stays_small():
    files = [path for path in (ROOT / "platform").iterdir() if path.is_file()]
    lines = sum(len(path.read_text().splitlines()) for path in files)
    assert lines < MAX_LINES


def loaded(module):
    code = LOAD.format(platform=str(ROOT / "platform"), source=str(ROOT / "src"), module=module)
    finished = subprocess.run(
        [sys.executable, "-S", "-c", "import site; site.main()\n" + code],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT / "platform",
    )
    return set(finished.stdout.split())


@pytest.mark.parametrize(
    "module",
    [
        "jasperwalk.balancer.datagrams.process",
        "jasperwalk.agent.datagrams.process",
        "jasperwalk.control.fleet.process",
    ],
)
def test_a_role_loads_no_library_that_it_does_not_use(module):
    modules = loaded(f"run, node_calls, {module}")
    # structlog imports rich where it is installed: for developers, not on the platform.
    assert modules.intersection(HEAVY_LIBRARIES) <= {"rich"}


@pytest.mark.parametrize("role", ["balancer", "agent"])
def test_a_node_loads_neither_consensus_nor_control(role):
    modules = loaded(f"run, node_calls, jasperwalk.{role}.datagrams.process")
    assert not [name for name in modules if name.startswith("jasperwalk.consensus")]
    assert not [name for name in modules if name.startswith("jasperwalk.control")]


def test_the_standard_module_platform_is_not_hidden():
    finished = subprocess.run(
        [sys.executable, "-c", "import platform; print(platform.python_version())"],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    assert finished.stdout.strip() == ".".join(map(str, sys.version_info[:3]))
    assert not (ROOT / "platform" / "__init__.py").exists()


@pytest.mark.parametrize(
    ("arguments", "environment"), [([], {}), (["balancer"], {}), (["odd"], {})]
)
def test_a_wrong_start_says_how(arguments, environment):
    finished = subprocess.run(
        [sys.executable, "platform/run.py", *arguments],
        capture_output=True,
        text=True,
        check=False,
        cwd=ROOT,
        env={**{"PATH": os.environ["PATH"]}, **environment},
    )
    assert finished.returncode == 2
    assert "usage:" in finished.stderr


def test_a_settings_file_with_a_missing_key_is_one_line_that_names_it(tmp_path):
    settings = tmp_path / "node.toml"
    settings.write_text('name = "b"\nzone = "a"\n')
    finished = subprocess.run(
        [sys.executable, "platform/run.py", "balancer"],
        capture_output=True,
        text=True,
        check=False,
        cwd=ROOT,
        env={"PATH": os.environ["PATH"], "JASPERWALK_NODE_FILE": str(settings)},
    )
    assert finished.returncode == 1
    assert "callers_listen" in finished.stdout
    assert len(finished.stdout.splitlines()) == 1
