# `install` creates .venv with the locked dependencies for the other targets.
ORGANISATION ?= himal
PYTHON ?= python3
# Processes that run the unit tests; integration tests run one at a time.
WORKERS ?= 5
STAMP := .venv/.installed

.PHONY: install test demo lint format
install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	.venv/bin/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

test: install
	.venv/bin/python -m pytest -q -n $(WORKERS) tests/unit $(PYTEST_ARGS)
	.venv/bin/python -m pytest -q tests/integration $(PYTEST_ARGS)

demo: install
	.venv/bin/python -m benchmarks demo --organisation $(ORGANISATION)

lint: install
	.venv/bin/pyink --check --quiet src standins benchmarks tests tools platform
	.venv/bin/ruff check src standins benchmarks tests tools platform
	.venv/bin/python tools/check_imports.py src standins benchmarks tests tools platform
	.venv/bin/python tools/check_boundary.py src standins benchmarks tools

format: install
	.venv/bin/ruff check --fix --quiet src standins benchmarks tests tools platform
	.venv/bin/pyink --quiet src standins benchmarks tests tools platform
