import asyncio

import pytest

from jasperwalk.fleet.process_metrics import ProcessMetrics, metrics_server
from jasperwalk.observability.latency import LatencyHistogram


def process_metrics():
    latency = LatencyHistogram()
    for seconds in (0.0005, 0.02, 0.02, 99.0):
        latency.observe(seconds)
    return ProcessMetrics(
        process="agent",
        counters=lambda: {"flows_refused": 3},
        gauges={"flows": lambda: 7},
        latencies={"host": latency},
    )


@pytest.mark.parametrize(
    "line",
    [
        "jasperwalk_agent_flows_refused_total 3.0",
        "jasperwalk_agent_flows 7.0",
        'jasperwalk_agent_host_seconds_bucket{le="0.001"} 1.0',
        'jasperwalk_agent_host_seconds_bucket{le="0.025"} 3.0',
        'jasperwalk_agent_host_seconds_bucket{le="+Inf"} 4.0',
        "jasperwalk_agent_host_seconds_count 4.0",
        "jasperwalk_agent_host_seconds_sum 99.0405",
    ],
)
def test_metrics_in_the_text_format(line):
    assert line in process_metrics().render().decode().splitlines()


def test_no_address_means_no_server():
    assert metrics_server("", "/metrics", process_metrics()) is None


@pytest.mark.parametrize(("path", "status"), [("/metrics", b"200"), ("/other", b"404")])
def test_the_server_answers_its_path_alone(path, status):
    async def main():
        server = metrics_server("127.0.0.1:0", "/metrics", process_metrics())
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.endpoint.port)
        writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path.encode())
        answer = await asyncio.wait_for(reader.read(), 20)
        writer.close()
        await server.close()
        return answer

    assert asyncio.run(main()).startswith(b"HTTP/1.1 " + status)
