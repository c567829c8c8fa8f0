"""Sends a change and, with --wait, polls until it is in force on all balancers and agents."""

from __future__ import annotations

from dataclasses import replace
from urllib.parse import quote

import msgspec

from jasperwalk.cli.api_client import ApiClient, ApiRequest
from jasperwalk.cli.failures import NotInForce, describe_in_force
from jasperwalk.cli.operation import ChangeFlags, Operation
from jasperwalk.control.in_force import InForce
from jasperwalk.control.views import ChangeView

MAX_POLL_SECONDS = 5.0
"""Longest wait that one request asks of the replica; longer waits take several requests."""

MILLISECONDS = 1000


class ChangeResult(msgspec.Struct, frozen=True):
    """JSON object of an accepted change; `in_force` is null without --wait.

    `revision` is the table's, `subject_revision` the template's or tenant's own (0 for none).
    """

    change_id: str
    outcome: str
    revision: int
    subject_revision: int
    in_force: InForce | None


async def send_change(operation: Operation, request: ApiRequest, flags: ChangeFlags) -> None:
    """Send `request` under the flags' change ID and print the outcome."""
    flags.announce(operation.printer)
    request = replace(request, change_id=flags.change_id, expected_revision=flags.expected_revision)
    change = await operation.client.call(request, ChangeView)
    await report_change(operation, change, flags.wait_seconds)


async def report_change(
    operation: Operation, change: ChangeView, wait_seconds: float | None
) -> None:
    """Print an accepted change, and wait for it where `wait_seconds` is given."""
    report = None
    lines = [describe_change(change)]
    if wait_seconds is not None:
        report = await wait_until_in_force(operation.client, change.change_id, wait_seconds)
        lines.append(describe_report(report))
    result = ChangeResult(
        change_id=change.change_id,
        outcome=change.outcome,
        revision=change.revision,
        subject_revision=change.subject_revision,
        in_force=report,
    )
    operation.printer.result(result, lines)


def describe_change(change: ChangeView) -> str:
    """Return the line of an accepted change; --expect-revision takes its "own revision"."""
    line = f"{change.outcome} at table revision {change.revision}"
    if change.subject_revision:
        line += f", own revision {change.subject_revision}"
    return f"{line} (change {change.change_id})"


async def wait_until_in_force(client: ApiClient, change_id: str, seconds: float) -> InForce:
    """Wait until a change is in force; raise `NotInForce` when `seconds` have passed."""
    remaining = seconds
    while True:
        poll_seconds = min(remaining, MAX_POLL_SECONDS)
        request = ApiRequest(
            method="GET",
            path=f"/v1/changes/{quote(change_id, safe='')}/in-force",
            query=(("wait_ms", str(round(poll_seconds * MILLISECONDS))),),
            wait_seconds=poll_seconds,
        )
        report = await client.call(request, InForce)
        if report.complete:
            return report
        remaining -= poll_seconds
        if remaining <= 0:
            raise NotInForce(change_id=change_id, in_force=report)


def describe_report(report: InForce) -> str:
    """Return the line that says where a change is in force."""
    return f"revision {report.revision} in force on {describe_in_force(report)}"
