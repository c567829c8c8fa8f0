"""The promises that a chaos run checks, and a broken one as the report lists it."""

from __future__ import annotations

import enum

import msgspec


class ChaosPromise(enum.StrEnum):
    """Promises in addition to those of the callers' history (`ViolationKind`)."""

    NOT_RUN_BUT_RAN = "not-run-but-ran"
    WORK_ON_LEAVING_HOST = "work-on-leaving-host"
    REVISION_WENT_BACK = "revision-went-back"
    NOT_IN_FORCE = "not-in-force"
    NOT_KNOWN_IN_FORCE = "not-known-in-force"
    CHANGE_LOST = "change-lost"
    TWO_WINNERS = "two-winners"
    RESEND_DIFFERS = "resend-differs"
    NOT_LINEARIZABLE = "not-linearizable"
    NOT_RECOVERED = "not-recovered"
    PROCESS_ENDED = "process-ended"
    TOO_FEW_REQUESTS = "too-few-requests"
    TOO_FEW_FAULTS = "too-few-faults"


class ChaosViolation(msgspec.Struct, frozen=True):
    """One broken promise with what was observed; `kind`: a `ChaosPromise` or a `ViolationKind`."""

    kind: str
    detail: str
