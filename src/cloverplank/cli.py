# ruff: noqa: PLC0415, RUF100
"""The command line: the command that serves, and commands for users and operators.

Each command imports its own dependencies, so that those of the others don't delay its start.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

from cloverplank import __version__
from cloverplank.settings import InvalidSettingsError

if TYPE_CHECKING:
    from cloverplank.settings.operator import OperatorSettings
    from cloverplank.settings.platform import PlatformSettings
    from cloverplank.wire.status import Status

OPERATOR_FILE = Path(__file__).resolve().parents[2] / "deploy" / "operator.txtpb"
EXIT_FAILED = 1
EXIT_INVALID_INPUT = 2
REQUEST_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 4
SUCCESS_STATUSES = (200, 201)


def _exit(code: int, message: str) -> NoReturn:
    click.echo(f"cloverplank: {message}", err=True)
    sys.exit(code)


def _read_settings(config: Path, operator: Path | None) -> tuple[PlatformSettings, OperatorSettings]:
    """Return the platform's and the operators' settings; exit where they are invalid."""
    from cloverplank.settings.operator import read_operator
    from cloverplank.settings.platform import read_platform

    try:
        platform = read_platform(config)
        operators = read_operator(operator or OPERATOR_FILE)
        operators.rollout.check_names(platform.controllers())
        operators.check_zones(platform.facts.zones)
    except InvalidSettingsError as err:
        _exit(EXIT_INVALID_INPUT, str(err))
    return platform, operators


class _ServeByDefault(click.Group):
    """Treats `--config FILE` without a command as `serve`, which is how the platform starts a controller."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Insert the command `serve` where it is missing."""
        if args and args[0] == "--config":
            args = ["serve", *args]
        return super().parse_args(ctx, args)


@click.group(cls=_ServeByDefault, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="cloverplank")
def main() -> None:
    """cloverplank, a cluster scheduler. `cloverplank --config FILE` is short for `serve --config FILE`."""


CONFIG = click.option(
    "--config", required=True, type=click.Path(path_type=Path), help="The platform's settings (TOML)."
)
OPERATOR = click.option(
    "--operator",
    type=click.Path(path_type=Path),
    help="The operators' settings (protobuf text format). [default: deploy/operator.txtpb, if there is one]",
)
CONTROLLER = click.option("--controller", required=True, metavar="HOST:PORT", help="A controller's front address.")


@main.command()
@CONFIG
@OPERATOR
def serve(config: Path, operator: Path | None) -> None:
    """Run a controller until it is killed."""
    platform, operators = _read_settings(config, operator)
    from cloverplank.serve import serve as serve_controller

    serve_controller(platform, operators)


@main.command()
@CONFIG
@OPERATOR
def check(config: Path, operator: Path | None) -> None:
    """Check the settings files."""
    platform, _ = _read_settings(config, operator)
    click.echo(f"{platform.label}: settings are good")


@main.command()
@click.option("--operator", type=click.Path(path_type=Path), help="The operators' settings.")
def settings(operator: Path | None) -> None:
    """Print the operators' settings in force, each with its range and meaning."""
    from cloverplank.settings.operator import read_operator

    try:
        click.echo(read_operator(operator or OPERATOR_FILE).text(), nl=False)
    except InvalidSettingsError as err:
        _exit(EXIT_INVALID_INPUT, str(err))


def _request(controller: str, method: str, path: str, body: bytes | None = None) -> None:
    """Send a request to a controller and print the fields of its response; exit where it failed."""
    import asyncio

    from cloverplank.net.client import Client
    from cloverplank.net.messages import NoResponseError, Response
    from cloverplank.settings.platform import parse_addr
    from cloverplank.wire.codec import MessageDecodeError, decode

    try:
        addr = str(parse_addr(controller, "--controller"))
    except InvalidSettingsError as err:
        _exit(EXIT_INVALID_INPUT, str(err))

    async def exchange() -> Response:
        async with Client(MAX_CONNECTIONS) as client:
            return await client.request(addr, method, path, body, REQUEST_TIMEOUT_S)

    try:
        response = asyncio.run(exchange())
        fields: dict[str, object] = decode(response.body, dict) if response.body else {}
    except (NoResponseError, MessageDecodeError) as err:
        _exit(EXIT_FAILED, f"no answer from {addr}: {err}")
    for name, value in fields.items():
        click.echo(f"{name}: {value}")
    if response.status not in SUCCESS_STATUSES:
        _exit(EXIT_FAILED, f"status {response.status}")


@main.command()
@CONTROLLER
@click.argument("file", type=click.Path(path_type=Path))
def submit(controller: str, file: Path) -> None:
    """Submit the job described in FILE (TOML, named as in the protocol)."""
    import tomllib

    from cloverplank.wire.codec import MessageDecodeError, encode
    from cloverplank.wire.users import JOBS_PATH, decode_submission

    try:
        body = encode(tomllib.loads(file.read_text("utf-8")))
        decode_submission(body)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, MessageDecodeError, TypeError) as err:
        _exit(EXIT_INVALID_INPUT, f"{file}: {err}")
    _request(controller, "POST", JOBS_PATH, body)


def _job_path(job: str) -> str:
    """Return the path of a job; exit where its id is invalid."""
    from cloverplank.wire.users import JOBS_PATH, valid_job_id

    if not valid_job_id(job):
        _exit(EXIT_INVALID_INPUT, f"not a job id: {job!r}")
    return f"{JOBS_PATH}/{job}"


@main.command()
@CONTROLLER
@click.argument("job")
def show(controller: str, job: str) -> None:
    """Show a job's state."""
    _request(controller, "GET", _job_path(job))


@main.command()
@CONTROLLER
@click.argument("job")
def cancel(controller: str, job: str) -> None:
    """Cancel a job."""
    _request(controller, "POST", _job_path(job) + "/cancel", b"")


@main.group()
def rollout() -> None:
    """Staged rollouts of new stored formats."""


@main.group()
def zones() -> None:
    """Lost and recovering zones."""


JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object instead of text.")


def _show_status(config: Path, read: Callable[[PlatformSettings], Status], *, as_json: bool) -> None:
    """Print the status that `read` returns; exit where the settings are invalid or the key-value store fails."""
    from cloverplank.kvstore.errors import StoreError
    from cloverplank.settings.platform import read_platform

    try:
        platform = read_platform(config)
    except InvalidSettingsError as err:
        _exit(EXIT_INVALID_INPUT, str(err))
    try:
        status = read(platform)
    except StoreError as err:
        _exit(EXIT_FAILED, f"no response from the key-value store {platform.outside.state}: {err}")
    click.echo(status.as_json() if as_json else status.as_text())


@rollout.command("status")
@CONFIG
@JSON
def rollout_status(config: Path, *, as_json: bool) -> None:
    """Show the phase, the controllers and what the rollout waits for, from committed state."""
    from cloverplank.rollout.status import read_status

    _show_status(config, read_status, as_json=as_json)


@zones.command("status")
@CONFIG
@JSON
def zones_status(config: Path, *, as_json: bool) -> None:
    """Show the health of each zone and the progress of its recovery, from committed state."""
    from cloverplank.zones.status import read_status

    _show_status(config, read_status, as_json=as_json)


@main.group()
def controllers() -> None:
    """Controllers, their roles, and handovers."""  # noqa: D401


@controllers.command("status")
@CONFIG
@JSON
def controllers_status(config: Path, *, as_json: bool) -> None:
    """Show which controllers are present, lead or own shards, and which lost a shard, from committed state."""
    from cloverplank.membership.status import read_status

    _show_status(config, read_status, as_json=as_json)
