"""The answers that backends give and callers check: a pure function of the request.

Every answer contains the service and the request ID, so that a caller can distinguish its own
complete answer from a truncated one and from that of another caller or service.
"""

from __future__ import annotations

import hashlib

REQUEST_HEADER = "x-lab-request"
"""Header with the request ID, set by callers, echoed by backends."""
SERVICE_HEADER = "x-lab-service"
"""Header with the service's name, set by backends."""
HOST_HEADER = "x-lab-host"
"""Header with the backend's host name, set by backends."""
NOT_RUN_HEADER = "jasperwalk-not-run"
"""Header of a backend's 503 that states that the request did not run."""
DEADLINE_HEADER = "jasperwalk-deadline-ms"
"""Header with the time left until a request's deadline, in milliseconds."""


def lookup_body(service: str, request_id: str, query: str) -> bytes:
    """Return the answer to a lookup of `query`."""
    digest = hashlib.sha256(query.encode()).hexdigest()
    return f"{service} {request_id} {digest}\n".encode()


def submission_body(service: str, request_id: str, submitted: bytes) -> bytes:
    """Return the receipt of a submission of `submitted`."""
    digest = hashlib.sha256(submitted).hexdigest()
    return f"{service} {request_id} {len(submitted)} {digest}\n".encode()


def stream_chunk(service: str, request_id: str, number: int) -> bytes:
    """Return chunk `number` (from 0) of a long stream."""
    return f"{number} {service} {request_id}\n".encode()


def stream_body(service: str, request_id: str, chunks: int) -> bytes:
    """Return the complete body of a long stream of `chunks` chunks."""
    return b"".join(stream_chunk(service, request_id, number) for number in range(chunks))


def stream_chunks(seconds: float, interval_ms: float) -> int:
    """Return how many chunks a stream of `seconds` with one every `interval_ms` has."""
    return max(1, round(seconds * 1000 / interval_ms))


def download_body(service: str, request_id: str, length: int) -> bytes:
    """Return a download of `length` bytes, different for every service and request."""
    return hashlib.shake_128(f"{service} {request_id}".encode()).digest(length)
