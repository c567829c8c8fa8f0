"""Commands of `jasperwalk-lab`, one module each."""
