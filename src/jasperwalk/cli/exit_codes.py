"""Exit codes of every command; docs/OPERATIONS.md explains what to do on each."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit status of a command."""

    OK = 0
    REFUSED = 1
    """The operation was refused (conflict, lost race, unknown name); a daemon failed."""
    USAGE = 2
    """Wrong flags, settings or input files; nothing was sent."""
    CONTROL_UNREACHABLE = 3
    """No control replica accepted the request; nothing was changed."""
    OUTCOME_UNKNOWN = 4
    """The change may have been accepted; resend it with the same --change-id."""
    NOT_IN_FORCE = 5
    """Accepted, but not in force everywhere within the wait limit."""
    INTERRUPTED = 130
    """Stopped by the operator (Ctrl-C)."""
