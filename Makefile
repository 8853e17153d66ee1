PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: demo test check faults bench capacity clean

# Installed once; again whenever the pinned dependencies change.
.venv/installed: pyproject.toml
	test -d .venv || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --editable '.[develop]'
	touch $@

demo: .venv/installed
	bash scripts/demo.sh

test: .venv/installed
	bash scripts/test.sh

check: .venv/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 src tests scripts features
	$(BIN)/lint-imports
	$(BIN)/mypy

faults: .venv/installed
	bash scripts/faults.sh

bench: .venv/installed
	bash scripts/bench.sh

capacity: .venv/installed
	$(BIN)/acaciaramp bench capacity --out docs/capacity.json

clean:
	rm -rf .venv
