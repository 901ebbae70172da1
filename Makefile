# Two commands do all: `make demo` shows the whole path, `make test` proves it.

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test unit lint measure clean

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[test]'
	touch $@

demo: $(VENV)/ready
	$(BIN)/python -m topazring.load.demo

test: $(VENV)/ready
	$(BIN)/python tools/run_tests.py

lint: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/flake8 topazring tools docs

measure: $(VENV)/ready
	$(BIN)/python -m topazring.load.measure --all

clean:
	rm -rf $(VENV)
