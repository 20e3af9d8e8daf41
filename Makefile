PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: try check soak format lint types bench clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

try: $(STAMP)
	$(BIN)/python -m trial

check: $(STAMP)
	$(BIN)/python -m tests

soak: $(STAMP)
	$(BIN)/python -m tests.soak --seeds 50 --seconds 15
	$(BIN)/python -m tests.soak.stops --seeds 5
	$(BIN)/python -m tests.soak.groups_stops --seeds 5

format: $(STAMP)
	$(BIN)/ruff format --check src tests bench trial

lint: $(STAMP)
	$(BIN)/ruff check src tests bench trial
	$(BIN)/pydocstyle src bench trial

types: $(STAMP)
	$(BIN)/mypy

bench: $(STAMP)
	$(BIN)/python -m bench

clean:
	rm -rf $(VENV) build *.egg-info src/*.egg-info
