"""Shared parts of operators' commands: flags, the API client, and the exit code of failures."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar, cast

import click

from jasperwalk.addresses import Endpoint
from jasperwalk.cli.api_client import ApiClient
from jasperwalk.cli.api_tls import CA_FLAG, CERTIFICATE_FLAG, KEY_FLAG, ApiTlsFiles
from jasperwalk.cli.exit_codes import ExitCode
from jasperwalk.cli.output import Printer
from jasperwalk.errors import InvalidAddress, JasperwalkError

API_VARIABLE = "JASPERWALK_API"
DEFAULT_TIMEOUT_SECONDS = 15.0
URL_PREFIXES = ("http://", "https://")

TLS_OPTIONS = (
    (CA_FLAG, "ca_file", "JASPERWALK_CA_FILE", "the CA of the cluster"),
    (CERTIFICATE_FLAG, "certificate_file", "JASPERWALK_CERTIFICATE", "the operator's certificate"),
    (KEY_FLAG, "private_key_file", "JASPERWALK_KEY", "its private key"),
)
"""Flag, argument, environment variable and content of each file that https needs."""

Command = TypeVar("Command", bound=Callable[..., object])
Result = TypeVar("Result")


class EndpointType(click.ParamType[Endpoint]):
    """A flag's value of the form `IPV4:PORT`, or a URL `http[s]://IPV4:PORT`."""

    name = "ipv4:port"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> Endpoint:
        """Parse the text; an invalid one ends the command with exit code 2."""
        if isinstance(value, Endpoint):
            return value
        text = str(value).strip().rstrip("/")
        for prefix in URL_PREFIXES:
            text = text.removeprefix(prefix)
        try:
            return Endpoint.parse(text)
        except InvalidAddress as error:
            return self.fail(str(error), param, ctx)


class ExampleCommand(click.Command):
    """A command whose help ends with examples."""

    def __init__(self, *arguments: Any, examples: Sequence[str] = (), **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.examples = tuple(examples)

    def format_epilog(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the examples, one per line."""
        if not self.examples:
            return
        with formatter.section("Examples"):
            for example in self.examples:
                formatter.write(f"{' ' * formatter.current_indent}{example}\n")


class OperatorCommand(ExampleCommand):
    """A command that reports a typed failure as one line, and ends with its exit code."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command."""
        printer = Printer(json_output=bool(ctx.params.get("json_output")))
        try:
            return super().invoke(ctx)
        except JasperwalkError as error:
            exit_code = getattr(error, "exit_code", ExitCode.USAGE)
            printer.failure(error, exit_code)
            ctx.exit(exit_code)
        except KeyboardInterrupt:
            printer.note("interrupted; a change that was sent may still be accepted")
            ctx.exit(ExitCode.INTERRUPTED)


@dataclass(frozen=True)
class Operation:
    """One run of an operator's command: its client and its printer."""

    client: ApiClient
    printer: Printer

    def run(self, main: Coroutine[Any, Any, Result]) -> Result:
        """Run the command's coroutine to completion."""
        return asyncio.run(main)


@dataclass(frozen=True)
class ChangeFlags:
    """Flags of commands that change something."""

    change_id: str
    is_resend: bool
    expected_revision: int | None
    wait_seconds: float | None

    def announce(self, printer: Printer) -> None:
        """Print the change ID before anything is sent, so that a resend can name it."""
        printer.note(f"change ID: {self.change_id}")


def api_options(command: Command) -> Command:
    """Add --api, the https flags, --timeout and --json; the command gets them as `operation`."""

    def run(
        *arguments: Any,
        endpoints: tuple[Endpoint, ...],
        timeout_seconds: float,
        json_output: bool,
        ca_file: Path | None,
        certificate_file: Path | None,
        private_key_file: Path | None,
        **options: Any,
    ) -> object:
        tls = ApiTlsFiles(ca_file, certificate_file, private_key_file).context()
        operation = Operation(
            client=ApiClient(endpoints, timeout_seconds, tls), printer=Printer(json_output)
        )
        return command(*arguments, operation=operation, **options)

    return _with_options(
        run,
        command,
        click.option(
            "--api",
            "endpoints",
            type=EndpointType(),
            multiple=True,
            required=True,
            envvar=API_VARIABLE,
            help="API address of a control replica; give it once for each, they are tried in "
            f"turn. Default: the addresses in ${API_VARIABLE}, separated by blanks.",
        ),
        click.option(
            "--timeout",
            "timeout_seconds",
            type=click.FloatRange(min=0.1, max=3600.0),
            default=DEFAULT_TIMEOUT_SECONDS,
            show_default=True,
            help="Seconds to keep trying the replicas.",
        ),
        click.option("--json", "json_output", is_flag=True, help="Print one JSON object."),
        *(
            click.option(
                flag,
                name,
                type=click.Path(path_type=Path),
                envvar=variable,
                help=f"For https: PEM file with {content}. Default: ${variable}.",
            )
            for flag, name, variable, content in TLS_OPTIONS
        ),
    )


def change_options(command: Command) -> Command:
    """Add --change-id and --wait; the command gets them as `flags`."""

    def run(
        *arguments: Any, change_id: str | None, wait_seconds: float | None, **options: Any
    ) -> object:
        flags = ChangeFlags(
            change_id=change_id or uuid.uuid4().hex,
            is_resend=change_id is not None,
            expected_revision=options.pop("expected_revision", None),
            wait_seconds=wait_seconds,
        )
        return command(*arguments, flags=flags, **options)

    return _with_options(
        run,
        command,
        click.option(
            "--change-id",
            help="Resend an earlier change: it is applied once, and returns its first outcome.",
        ),
        click.option(
            "--wait",
            "wait_seconds",
            type=click.FloatRange(min=0.0, max=3600.0),
            help="Wait up to this many seconds until the change is in force everywhere.",
        ),
    )


def expect_revision_option(command: Command) -> Command:
    """Add --expect-revision; use it below `change_options`."""
    option = click.option(
        "--expect-revision",
        "expected_revision",
        type=click.IntRange(min=0),
        help="Refuse the change unless this is the current revision (0: must not exist yet).",
    )
    return option(command)


def _with_options(
    run: Callable[..., object], command: Command, *options: Callable[[Command], Command]
) -> Command:
    """Give `run` the name, help and existing options of `command`, and add `options`."""
    run.__name__ = getattr(command, "__name__", run.__name__)
    run.__doc__ = command.__doc__
    earlier = getattr(command, "__click_params__", [])
    run.__click_params__ = list(earlier)  # type: ignore[attr-defined]
    decorated = cast(Command, run)
    for option in reversed(options):
        decorated = option(decorated)
    return decorated
