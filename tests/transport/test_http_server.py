import asyncio

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.transport.http_messages import HttpResponse
from jasperwalk.transport.http_server import HttpServer


def exchange(sent, handler=None, expected=1, slowly=False):
    """Send bytes to a server; return what it sent until it had answered `expected` times."""

    async def echo(request):
        text = f"{request.method} {request.path} {len(request.body)}"
        return HttpResponse(200, text.encode())

    async def main():
        server = HttpServer(Endpoint("127.0.0.1", 0), handler or echo)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.endpoint.port)
        try:
            for piece in [bytes((byte,)) for byte in sent] if slowly else [sent]:
                writer.write(piece)
                await asyncio.sleep(0)
            received = b""
            async with asyncio.timeout(20):
                while received.count(b"HTTP/1.1") < expected or not received.endswith(b"end"):
                    piece = await reader.read(4096)
                    received += piece
                    complete = received.count(b"HTTP/1.1") >= expected and b"\r\n\r\n" in received
                    if not piece or complete:
                        break
            return received
        finally:
            writer.close()
            await server.close()

    return asyncio.run(main())


GET = b"GET /path?query HTTP/1.1\r\nHost: x\r\n\r\n"
PUT = b"PUT /path HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"


@pytest.mark.parametrize("slowly", [False, True])
def test_the_handler_gets_the_complete_request(slowly):
    assert exchange(PUT, slowly=slowly).endswith(b"PUT /path 4")


def test_the_query_is_not_part_of_the_path():
    assert exchange(GET).endswith(b"GET /path 0")


def test_requests_on_one_connection_are_answered_in_order():
    received = exchange(GET + PUT, expected=2)
    assert received.index(b"GET /path 0") < received.index(b"PUT /path 4")


def test_noise_is_refused():
    assert exchange(b"noise\r\n\r\n").startswith(b"HTTP/1.1 400")


def test_a_handler_that_fails_answers_500_and_the_server_goes_on():
    async def fail(_request):
        raise ValueError("broken")

    assert exchange(GET, handler=fail).startswith(b"HTTP/1.1 500")


def test_headers_and_status_of_the_handler_are_sent():
    async def refuse(_request):
        return HttpResponse(503, b"{}", {"Retry-After": "1"})

    received = exchange(GET, handler=refuse)
    assert received.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1" in received


def test_a_handler_can_tell_that_its_caller_has_left():
    seen = []

    async def main():
        taken = asyncio.Event()

        async def handle(request):
            seen.append(request.client_connected())
            taken.set()
            while request.client_connected():
                await asyncio.sleep(0.001)
            seen.append(request.client_connected())
            return HttpResponse(200)

        server = HttpServer(Endpoint("127.0.0.1", 0), handle)
        await server.start()
        _, writer = await asyncio.open_connection("127.0.0.1", server.endpoint.port)
        async with asyncio.timeout(20):
            writer.write(GET)
            await taken.wait()
            writer.close()
            while len(seen) < 2:
                await asyncio.sleep(0.001)
        await server.close()

    asyncio.run(main())
    assert seen == [True, False]
