"""The poller of the platform's list: a list from before a pause is never acted on."""

import asyncio

from aiohttp import web

from jasperwalk.control.platform_poller import PlatformPoller

LIST = {"version": 1, "machines": []}


async def poll(then):
    """Poll a small server until a list has come, and return what `then` makes of it."""
    served = asyncio.Event()

    async def answer(_request):
        served.set()
        return web.json_response(LIST)

    application = web.Application()
    application.router.add_get("/machines", answer)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    port = runner.addresses[0][1]
    poller = PlatformPoller(f"http://127.0.0.1:{port}/machines", interval_seconds=0.01)
    polling = asyncio.create_task(poller.run())
    poller.enabled = True
    async with asyncio.timeout(10):
        await served.wait()
        outcome = await then(poller)
    polling.cancel()
    await asyncio.gather(polling, return_exceptions=True)
    await runner.cleanup()
    return outcome


async def take_when_available(poller):
    while (taken := poller.take()) is None:
        await asyncio.sleep(0.01)
    return taken


def test_a_list_is_taken_while_this_replica_leads():
    assert asyncio.run(poll(take_when_available)).version == LIST["version"]


def test_a_list_from_before_a_pause_is_discarded():
    async def pause(poller):
        while poller._latest is None:
            await asyncio.sleep(0.01)
        poller.enabled = False
        poller.enabled = True
        return poller.take()

    assert asyncio.run(poll(pause)) is None
