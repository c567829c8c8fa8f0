"""The agent process: terminates QUIC, and admits, queues, runs, drains and hands over requests."""
