"""The internal protocol: typed messages between jasperwalk's own processes."""
