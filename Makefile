PYTHON ?= python3.11
EXAMPLE ?= tunis
BIN := .venv/bin

.PHONY: run platform test bench format

.venv/installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

# One process with stand-ins for everything around the router.
run: .venv/installed
	$(BIN)/gentianwharfd --embedded examples/$(EXAMPLE)/settings.jsonc

# Entry hosts on a stand-in of the users' platform, in one process.
platform: .venv/installed
	$(BIN)/python -m gentianwharf.platform.standin demo

format: .venv/installed
	$(BIN)/ruff format src tests bench soak
	$(BIN)/ruff check --fix src tests bench soak

test: .venv/installed
	$(BIN)/ruff format --check src tests bench soak
	$(BIN)/ruff check src tests bench soak
	$(BIN)/mypy
	$(BIN)/python -m tests.known_red

# One JSON line per figure; the exit code says nothing about the figures.
bench: .venv/installed
	$(BIN)/python -m bench
