"""Loads renewed certificates for callers; open flows keep the one they started with."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import structlog
from aioquic.quic.configuration import QuicConfiguration

from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.transport.errors import UnusableCertificate
from jasperwalk.transport.file_monitor import POLL_SECONDS, FileMonitor
from jasperwalk.transport.tls import check_pair

ConfigurationLoader = Callable[[str, str], QuicConfiguration]
"""Loads the QUIC settings from a certificate file and a private key file."""

logger = structlog.get_logger(__name__)


class CertificateRenewal:
    """Polls the two files of an agent's certificate for callers."""

    def __init__(
        self,
        certificate_file: Path,
        private_key_file: Path,
        load: ConfigurationLoader,
        clock: Callable[[], float],
    ) -> None:
        self._certificate_file = certificate_file
        self._private_key_file = private_key_file
        self._load = load
        self._watch = FileMonitor((certificate_file, private_key_file), clock)

    async def run(self, endpoint: AgentEndpoint) -> None:
        """Pass each renewed certificate to the endpoint, until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            self.check_files(endpoint)

    def check_files(self, endpoint: AgentEndpoint) -> None:
        """Load changed files; if the pair can't be used, the current one stays in use."""
        if not self._watch.changed():
            return
        try:
            check_pair(self._certificate_file, self._private_key_file)
            configuration = self._load(str(self._certificate_file), str(self._private_key_file))
        except (UnusableCertificate, OSError, ValueError) as error:
            logger.error("certificate-not-renewed", detail=str(error))
            return
        endpoint.set_configuration(configuration)
        logger.info("certificate-renewed", file=str(self._certificate_file))
