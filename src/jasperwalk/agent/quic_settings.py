"""The QUIC settings of every flow."""

from __future__ import annotations

from aioquic.quic.configuration import QuicConfiguration

from jasperwalk.routing.connection_ids import CONNECTION_ID_LENGTH

IDLE_TIMEOUT_SECONDS = 300.0
MAX_STREAM_DATA = 262_144
"""Bytes that a caller may send on a stream before the agent has read them."""
MAX_CONNECTION_DATA = 1_048_576


def server_configuration(certificate_file: str, private_key_file: str) -> QuicConfiguration:
    """Build the QUIC settings of every flow; raise `OSError` for unreadable files."""
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=["h3"],
        connection_id_length=CONNECTION_ID_LENGTH,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
        max_data=MAX_CONNECTION_DATA,
        max_stream_data=MAX_STREAM_DATA,
    )
    configuration.load_cert_chain(certificate_file, private_key_file)
    return configuration
