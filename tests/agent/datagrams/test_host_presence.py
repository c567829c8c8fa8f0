"""The probe for a running host, on real sockets."""

import asyncio

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.host_presence import is_host_absent


def looked_at(serve):
    async def main():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        if not serve:
            server.close()
            await server.wait_closed()
        absent = await is_host_absent(Endpoint(host, port))
        server.close()
        return absent

    return asyncio.run(main())


def test_where_nobody_listens_there_is_no_host():
    assert looked_at(serve=False)


def test_a_host_that_listens_is_there():
    assert not looked_at(serve=True)
