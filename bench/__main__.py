"""Run the benchmarks: print the figures and write them, with machine and commit, as JSON.

Every measured process imports this module again, so it loads the suites only when run as main.
"""

from importlib import import_module

if __name__ == "__main__":
    import_module("bench.suites").main()
