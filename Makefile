# Every target sets up what it needs. `make help` lists them. constraints.txt is the lock: it
# names every package with its version, so nothing is resolved, and `pip check` proves it whole.

PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
TEST_PROCESSES ?= 4
SOAK_MINUTES ?= 2
SOAK_SIZE ?= small
FORMATTED := src tests scripts platform deploy $(wildcard bench)

.DEFAULT_GOAL := help
.PHONY: help setup demo test lint format bench soak clean

help:
	@echo "make setup   virtualenv in $(VENV) with the pinned dependencies"
	@echo "make demo    the Zagreb fleet on this machine, with traffic and changes under load"
	@echo "make test    the tests"
	@echo "make lint    format check, linter, types, import rules"
	@echo "make format  format the code"
	@echo "make bench   measure, each figure beside its baseline"
	@echo "make soak    random faults in running processes, two minutes on each plane"
	@echo "make clean   remove $(VENV) and caches"

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--no-deps --requirement constraints.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation --editable .
	$(BIN)/python -m pip check
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/jasperwalk-lab demo

test: $(STAMP)
	$(BIN)/python -m pytest -p scripts.known_red -n $(TEST_PROCESSES)

lint: $(STAMP)
	$(BIN)/ruff format --check $(FORMATTED)
	$(BIN)/ruff check $(FORMATTED)
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python -m scripts.capacity --check

format: $(STAMP)
	$(BIN)/ruff format $(FORMATTED)
	$(BIN)/ruff check --fix $(FORMATTED)

bench: $(STAMP)
	$(BIN)/python -m bench

soak: $(STAMP)
	$(BIN)/jasperwalk-lab soak --kept --minutes $(SOAK_MINUTES) --size $(SOAK_SIZE)
	$(BIN)/jasperwalk-lab soak --plane http3 --minutes $(SOAK_MINUTES)

clean:
	rm -rf $(VENV) build .mypy_cache .ruff_cache .import_linter_cache .hypothesis
