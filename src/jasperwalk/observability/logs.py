"""Structured logs: one line of key=value pairs for each event, on standard error."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import structlog
from structlog.typing import FilteringBoundLogger

KEY_ORDER = ("timestamp", "level", "process", "name", "event")
LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure_logging(
    process: str, name: str, level: str = "info", stream: TextIO | None = None
) -> None:
    """Set up structlog for this process and route libraries' own logs through it.

    `process` is the kind of process (control, balancer, agent), `name` its own name, and
    `level` one of debug, info, warning, error. `stream` replaces standard error.
    """
    threshold = LEVELS[level]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=KEY_ORDER, bool_as_flag=False),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(threshold),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(process=process, name=name)
    # Libraries report routine traffic at info level; only their warnings matter here.
    library_threshold = max(threshold, logging.WARNING)
    logging.basicConfig(
        handlers=[_LibraryHandler(process, name)], level=library_threshold, force=True
    )


def get_logger() -> FilteringBoundLogger:
    """Return the process's logger: `logger.info("event-name", key=value)`."""
    logger: FilteringBoundLogger = structlog.get_logger()
    return logger


class _LibraryHandler(logging.Handler):
    """Forwards records of the standard logging module to structlog."""

    def __init__(self, process: str, name: str) -> None:
        super().__init__()
        self._process = process
        self._process_name = name

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record as one line, the library's name in the key `library`."""
        # Bound explicitly: a library's thread does not see this context's variables.
        logger = get_logger().bind(process=self._process, name=self._process_name)
        logger.log(
            record.levelno,
            "library-log",
            library=record.name,
            message=record.getMessage(),
            exc_info=record.exc_info,
        )
