"""Starts a process of the product from the one file that `bundle.py` wrote: `start.py ROLE`.

Without that file the modules are imported from their folders.
"""

from __future__ import annotations

import gc
import marshal
import signal
import sys
from _frozen_importlib import ModuleSpec
from _frozen_importlib_external import ExtensionFileLoader

TYPE_CHECKING = False
"""Replaces that of `typing`, which takes long to load."""
if TYPE_CHECKING:
    from types import ModuleType

ROOT = __file__.rpartition("/deploy/")[0] or "."


class BundleImporter:
    """Finds and runs the modules of the file; other modules are found as usual.

    For an extension module the file has no code, only its path: searching for it in five folders
    takes longer than loading it.
    """

    def __init__(self, modules: dict[str, tuple[bool, str, bytes]]) -> None:
        """`modules` has by name: whether it is a package, its file, and its code."""
        self._modules = modules

    def find_spec(
        self, name: str, _path: object = None, _target: object = None
    ) -> ModuleSpec | None:
        """Return the spec of a module in the file, None for other modules."""
        entry = self._modules.get(name)
        if entry is None:
            return None
        is_package, origin, code = entry
        if not code:
            return ModuleSpec(name, ExtensionFileLoader(name, origin), origin=origin)
        spec = ModuleSpec(name, self, origin=origin, is_package=is_package)
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [origin.rpartition("/")[0]]
        return spec

    def create_module(self, _spec: ModuleSpec) -> None:
        """Leave the creation of the module to the import system."""

    def exec_module(self, module: ModuleType) -> None:
        """Run a module's code, and release it."""
        _, _, code = self._modules.pop(module.__spec__.name)
        exec(marshal.loads(code), module.__dict__)


def install(root: str, role: str) -> None:
    """Import from the role's file first; do nothing where there is none."""
    try:
        with open(f"{root}/target/{role}.{sys.implementation.cache_tag}", "rb", 0) as file:
            modules = marshal.loads(file.read())
    except OSError:
        return
    sys.meta_path.insert(0, BundleImporter(modules))


if __name__ == "__main__":
    # By default SIGHUP (reload the settings) would end a process whose event loop does not run yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Loading modules creates no garbage; the process enables collection again later.
    gc.disable()
    sys.path[0] = f"{ROOT}/platform"
    sys.path.insert(1, f"{ROOT}/src")
    install(ROOT, sys.argv[1] if len(sys.argv) > 1 else "")
    from run import main

    sys.exit(main())
