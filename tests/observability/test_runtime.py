import os
import signal

import pytest

from jasperwalk import runtime


@pytest.mark.parametrize("stop_signal", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_signal_sets_the_event(stop_signal):
    ended = []

    async def main():
        event = runtime.stop_event()
        assert not event.is_set()
        os.kill(os.getpid(), stop_signal)
        await event.wait()
        ended.append(stop_signal)

    runtime.run(main())
    assert ended == [stop_signal]
