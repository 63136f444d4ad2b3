PYTHON ?= .venv/bin/python
FOLDER ?= examples/teranga-signes

.PHONY: run test up generate format lint promises mutants bench bench-quick soak

run: .venv/ready
	$(PYTHON) -m standins.story $(FOLDER)

test: .venv/ready
	$(PYTHON) -m pytest

up: .venv/ready
	$(PYTHON) -m standins.deployment $(FOLDER)

generate: .venv/ready
	$(PYTHON) tools/generate.py

format: .venv/ready
	$(PYTHON) -m ruff format .

lint: .venv/ready
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

.venv/ready: pyproject.toml
	python3 -m venv .venv
	.venv/bin/python -m pip install --quiet --disable-pip-version-check --editable '.[test]'
	touch $@

promises: .venv/ready
	$(PYTHON) -m history

mutants: .venv/ready
	$(PYTHON) -m history.mutants

bench: .venv/bench
	$(PYTHON) -m bench

bench-quick: .venv/bench
	$(PYTHON) -m bench --quick

.venv/bench: .venv/ready
	.venv/bin/python -m pip install --quiet --disable-pip-version-check --editable '.[test,bench]'
	touch $@

SEED ?= 1
SECONDS ?= 15
NODES ?= 3
RUNS ?= 1

soak: .venv/ready
	$(PYTHON) -m soak --seed $(SEED) --seconds $(SECONDS) --nodes $(NODES) --runs $(RUNS)
