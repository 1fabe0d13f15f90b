PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= anadolu
SEED ?= 1
SEEDS ?= 10
MINUTES ?= 1
CODE := chestnutshift tests bench standins demo tools

.PHONY: setup test lint format binary demo bench soak soak-edge capacity clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

test: setup
	$(BIN)/python -m nose2 -c nose2.cfg

lint: setup
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/flake8 $(CODE)

format: setup
	$(BIN)/ruff format $(CODE)

clean:
	rm -rf build .hypothesis

binary: setup build/chestnutshift

build/chestnutshift: requirements.txt tools/build_binary.py $(shell find chestnutshift -name '*.py')
	$(BIN)/python -m tools.build_binary

demo: binary
	$(BIN)/python -m demo --deployment $(DEPLOYMENT)

bench: setup
	$(BIN)/python -m bench.experiment --seed $(SEED)

capacity: setup
	$(BIN)/python -m bench.capacity --page docs/CAPACITY.md

soak: setup
	$(BIN)/python -m tests.soak --seed $(SEED) --minutes $(MINUTES)

soak-edge: setup
	$(BIN)/python -m tests.soak_edge --seed $(SEED) --seeds $(SEEDS)
