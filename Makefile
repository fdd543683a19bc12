PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test lint format demo serve bench capacity promises measure

setup: $(VENV)/installed

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(VENV)/installed

format: setup
	$(BIN)/ruff format .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 comfreystair standins specs tests

test: setup
	$(BIN)/python -m tests

demo: setup
	$(BIN)/python -m standins.demo

serve: setup
	$(BIN)/python -m standins.demo --serve

bench: setup
	$(BIN)/python -m standins.bench

capacity: setup
	$(BIN)/python -m standins.capacity

measure: setup
	$(BIN)/python -m standins.measure

promises: setup
	$(BIN)/python -m unittest tests.promises
