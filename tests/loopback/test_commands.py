"""Commands for users, run as processes against a server on loopback."""

from __future__ import annotations

from cloverplank.net.messages import Request, Response, make_response
from cloverplank.net.server import Server
from cloverplank.wire.users import JobResponse
from tests.loopback.cluster import run_command


async def respond(request: Request) -> Response:
    return make_response(200, JobResponse(request.path.rpartition("/")[2], "pending"))


# Guards against connections that are still open when the event loop ends, which print a traceback each.
async def test_command_that_succeeds_prints_nothing_on_standard_error() -> None:
    server = await Server("test", respond, 4).start("127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        exit_code, out, err = await run_command("show", "--controller", f"{host}:{port}", "run-000001")
    finally:
        server.close()
    assert (exit_code, err) == (0, "")
    assert "status: pending" in out
