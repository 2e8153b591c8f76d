PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
SEED ?= 1
SCENARIO ?= default

.PHONY: venv test lint format demo measure measure-control binary clean

venv: $(VENV)/.installed

$(VENV)/.installed: requirements/base.txt requirements/dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements/dev.txt
	touch $@

test: venv
	$(BIN)/python -m tests.run

lint: venv
	$(BIN)/black --check -q cicadacourse standins bench soak tests
	$(BIN)/isort --check -q cicadacourse standins bench soak tests
	$(BIN)/flake8 cicadacourse standins bench soak tests
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

format: venv
	$(BIN)/isort -q cicadacourse standins bench soak tests
	$(BIN)/black -q cicadacourse standins bench soak tests

demo: venv
	$(BIN)/python -m bench.demo --seed $(SEED) --scenario $(SCENARIO)

measure: venv
	$(BIN)/python -m bench.replay --seed $(SEED)

measure-control: venv
	$(BIN)/python -m bench.measure_control

binary: venv
	rm -rf build dist
	mkdir -p dist
	$(BIN)/shiv -q -c cicadacourse -o dist/cicadacourse --compressed .
	dist/cicadacourse version

clean:
	rm -rf build dist out

.PHONY: reference
reference: venv
	$(BIN)/python -m bench.reference

MINUTES ?= 0.5
SIZE ?= 4

.PHONY: soak
soak: venv
	$(BIN)/python -m soak $(if $(filter command line environment,$(origin SEED)),--seed $(SEED)) --minutes $(MINUTES) --size $(SIZE) $(if $(filter command line environment,$(origin SCENARIO)),--scenario $(SCENARIO))

.PHONY: soak-kept
soak-kept: venv
	$(BIN)/python -m soak --kept
