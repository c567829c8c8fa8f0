"""Checks at the start of a daemon: its ports are free and its folder can be written.

They turn the usual failures of a first start into a `SettingsError` that names the key.
Another process may still take a port between the check and its use; the daemon then fails when
it opens the port.
"""

from __future__ import annotations

import errno
import os
import socket
from pathlib import Path

from jasperwalk.settings.errors import SettingsError
from jasperwalk.settings.models import ControlSettings, Listener, ProcessSettings, Transport


def check_before_start(settings: ProcessSettings, source: str) -> None:
    """Raise `SettingsError` when a port or the data folder cannot be used."""
    for listener in settings.listeners():
        _check_port(listener, source)
    if isinstance(settings, ControlSettings):
        _check_data_folder(settings.data_folder, source)


def _check_port(listener: Listener, source: str) -> None:
    kind = socket.SOCK_STREAM if listener.transport is Transport.TCP else socket.SOCK_DGRAM
    with socket.socket(socket.AF_INET, kind) as probe:
        if listener.transport is Transport.TCP:
            # As in the daemon: connections left over from its last run do not block the port.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((listener.endpoint.host, listener.endpoint.port))
        except OSError as error:
            raise _bind_error(error, listener, source) from error


def _bind_error(error: OSError, listener: Listener, source: str) -> SettingsError:
    transport = listener.transport.upper()
    if error.errno == errno.EADDRINUSE:
        problem = f"{transport} port {listener.endpoint} is in use"
        mend = "stop the process that has it, or choose another port"
    elif error.errno == errno.EADDRNOTAVAIL:
        problem = f"{listener.endpoint.host} is not an address of this machine"
        mend = "name one of its addresses"
    else:
        problem = f"cannot listen on {transport} {listener.endpoint} ({error.strerror})"
        mend = "choose another address or port"
    return SettingsError(source=source, key=listener.key, problem=problem, mend=mend)


def _check_data_folder(folder: Path, source: str) -> None:
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise SettingsError(
            source=source,
            key="data_folder",
            problem=f"{folder} cannot be made ({error.strerror})",
            mend="name a folder that this user may write",
        ) from error
    if not os.access(folder, os.W_OK | os.X_OK):
        raise SettingsError(
            source=source,
            key="data_folder",
            problem=f"{folder} cannot be written",
            mend="change its owner or mode, or name another folder",
        )
