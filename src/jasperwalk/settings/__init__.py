"""Settings of the daemons: TOML files checked by pydantic, with overrides from flags."""

from jasperwalk.settings.errors import SettingsError
from jasperwalk.settings.loading import load_settings, source_name
from jasperwalk.settings.models import (
    AgentSettings,
    BalancerSettings,
    ControlSettings,
    PeerSettings,
    ProcessSettings,
)
from jasperwalk.settings.overrides import Override
from jasperwalk.settings.startup_checks import check_before_start

__all__ = [
    "AgentSettings",
    "BalancerSettings",
    "ControlSettings",
    "Override",
    "PeerSettings",
    "ProcessSettings",
    "SettingsError",
    "check_before_start",
    "load_settings",
    "source_name",
]
