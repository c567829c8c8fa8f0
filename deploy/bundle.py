"""Writes the compiled modules of one role into one file, from which `start.py` imports them.

Run by the build. On a small machine a process spends more time on finding two hundred files than
on running them; one file is read at once. Extension modules of libraries stay separate files.
"""

from __future__ import annotations

import importlib
import marshal
import os
import sys
from importlib.machinery import ExtensionFileLoader
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "target"
DAEMON_MODULES = (
    "run",
    "jasperwalk.fleet.daemon",
    "jasperwalk.transport.http_connection",
)
NODE_MODULES = (*DAEMON_MODULES, "datagram_codec", "node_calls")
ENTRY_MODULES = {
    "balancer": (*NODE_MODULES, "jasperwalk.balancer.datagrams.process"),
    "agent": (*NODE_MODULES, "jasperwalk.agent.datagrams.process"),
    "control": (
        *DAEMON_MODULES,
        "operator_calls",
        "jasperwalk.control.fleet.process",
        "jasperwalk.control.fleet.settings",
    ),
}
"""Modules that are imported for a role; all that they import is bundled with them."""


def collect(role: str) -> dict[str, tuple[bool, str, bytes]]:
    """Return, by name of each loaded module: whether it is a package, its file, and its code.

    The code of an extension module is empty: it stays a separate file.
    """
    for name in ENTRY_MODULES[role]:
        importlib.import_module(name)
    modules = {}
    for module in list(sys.modules.values()):
        spec = getattr(module, "__spec__", None)
        if spec is None or not spec.has_location:
            continue
        is_extension = isinstance(spec.loader, ExtensionFileLoader)
        code = b"" if is_extension else marshal.dumps(spec.loader.get_code(spec.name))
        modules[spec.name] = (spec.submodule_search_locations is not None, spec.origin, code)
    return modules


def main(role: str) -> None:
    """Replace a role's file atomically."""
    sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "src"), str(TARGET / "deps")]
    unfinished = TARGET / f"{role}.unfinished"
    unfinished.write_bytes(marshal.dumps(collect(role)))
    os.replace(unfinished, TARGET / f"{role}.{sys.implementation.cache_tag}")


if __name__ == "__main__":
    main(sys.argv[1])
