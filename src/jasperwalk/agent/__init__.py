"""The agent process: ends QUIC, admits, queues, runs, drains, hands over."""
