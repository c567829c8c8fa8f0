"""Field types of settings: end points, networks, URLs and paths.

Relative paths are resolved against the folder of the settings file, which the loader passes in
the validation context under `BASE_FOLDER`. Without that context (settings built in code) paths
are used unchanged and files are not required to exist.
"""

from __future__ import annotations

import ipaddress
import re
from pathlib import Path
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import AfterValidator, BeforeValidator, Field, PlainValidator, ValidationInfo

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import InvalidAddress

BASE_FOLDER = "base_folder"


def _parse_endpoint(value: object) -> Endpoint:
    if isinstance(value, Endpoint):
        return value
    if not isinstance(value, str):
        raise ValueError("an address must be a string of the form IPV4:PORT")
    try:
        return Endpoint.parse(value)
    except InvalidAddress as error:
        raise ValueError(str(error)) from error


def _parse_remote_endpoint(value: object) -> Endpoint:
    endpoint = _parse_endpoint(value)
    if endpoint.port == 0:
        raise ValueError(f"{endpoint} has port 0; a remote address needs its real port")
    return endpoint


def _parse_network(value: object) -> ipaddress.IPv4Network:
    if isinstance(value, ipaddress.IPv4Network):
        return value
    if not isinstance(value, str):
        raise ValueError("a network must be a string of the form IPV4/BITS")
    try:
        return ipaddress.IPv4Network(value)
    except ValueError as error:
        raise ValueError(f"{value!r} is not a network; expected IPV4/BITS: {error}") from error


def _check_http_url(value: str) -> str:
    """Accept only `http://IPV4:PORT/path`: processes address each other by IP address."""
    parts = urlsplit(value)
    if parts.scheme != "http":
        raise ValueError(f"{value!r} is not a URL of the form http://IPV4:PORT/PATH")
    _parse_remote_endpoint(parts.netloc)
    return value


def _resolve_path(value: Path, info: ValidationInfo) -> Path:
    if not isinstance(info.context, dict):
        return value
    base_folder = info.context.get(BASE_FOLDER)
    if not isinstance(base_folder, Path):
        return value
    return base_folder / value


def _require_file(value: Path, info: ValidationInfo) -> Path:
    path = _resolve_path(value, info)
    if info.context is not None and not path.is_file():
        raise ValueError(f"no file at {path}")
    return path


def _text_to_path(value: object) -> object:
    return Path(value) if isinstance(value, str) else value


ListenEndpoint = Annotated[Endpoint, PlainValidator(_parse_endpoint)]
"""An address to listen on; port 0 asks the operating system for a free port."""

RemoteEndpoint = Annotated[Endpoint, PlainValidator(_parse_remote_endpoint)]
"""An address of another process; its port is never 0."""

Network = Annotated[ipaddress.IPv4Network, PlainValidator(_parse_network)]

HttpUrl = Annotated[str, AfterValidator(_check_http_url)]

FolderPath = Annotated[Path, BeforeValidator(_text_to_path), AfterValidator(_resolve_path)]
"""A folder, created at start-up when it is missing."""

InputFilePath = Annotated[Path, BeforeValidator(_text_to_path), AfterValidator(_require_file)]
"""A file that must exist."""

NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")

Name = Annotated[str, Field(min_length=1, max_length=63, pattern=NAME_PATTERN)]
"""A name of a process, host, zone, region or cluster."""

Milliseconds = Annotated[int, Field(ge=1, le=86_400_000)]
