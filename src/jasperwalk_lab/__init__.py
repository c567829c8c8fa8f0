"""Stand-ins, fleet runner, load tools, simulator and reports for jasperwalk."""
