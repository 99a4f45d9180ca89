PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed-$(shell cat requirements.lock pyproject.toml | cksum | cut -d' ' -f1)
SEED ?= 1
SECONDS ?= 30

.PHONY: demo test lint soak fault-soak fuzz

$(STAMP):
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/cassiarail-demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 cassiarail
	$(BIN)/mypy

soak: $(STAMP)
	$(BIN)/python -m cassiarail.testbed.soak --seed $(SEED) --seconds $(SECONDS)

fault-soak: $(STAMP)
	$(BIN)/python -m tests.soak --first $(SEED) --seeds 5

fuzz: $(STAMP)
	$(BIN)/python -m tests.fuzz --seed $(SEED)
