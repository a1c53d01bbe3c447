PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
DEPLOYMENT ?= scara
PACKAGE := foxtailreach

.PHONY: demo test format bench docs

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --upgrade pip
	$(BIN)/pip install --quiet -e '.[dev]'
	touch $@

demo: $(STAMP)
	$(BIN)/python -m $(PACKAGE) demo --deployment $(DEPLOYMENT)

test: $(STAMP)
	$(BIN)/ruff format --check $(PACKAGE)
	$(BIN)/ruff check $(PACKAGE)
	$(BIN)/flake8 $(PACKAGE)
	$(BIN)/mypy
	$(BIN)/python -m pytest
	$(BIN)/mkdocs build --strict --quiet --site-dir $(VENV)/site

format: $(STAMP)
	$(BIN)/ruff check --fix $(PACKAGE)
	$(BIN)/ruff format $(PACKAGE)
