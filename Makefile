PYTHON = .venv/bin/python
CONFIGURATION ?= deploy/example.json

.PHONY: build clean-build demo demo-tier test lint run

build:
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-tools.txt

clean-build: # the builds of deploy/*.toml with the distribution's interpreter alone, into a fresh folder
	python3 -m tools.clean_build

demo: build
	$(PYTHON) -m crowwing emulate deploy/demo.json --out runs/demo

demo-tier: build
	$(PYTHON) -m benchmarks.tier_demo

test: build
	$(PYTHON) -m pytest -q

lint: build
	.venv/bin/ruff check crowwing tests benchmarks tools
	.venv/bin/ruff format --check crowwing tests benchmarks tools
	.venv/bin/mypy

run: build
	PROXY_CONFIG=$(CONFIGURATION) exec $(PYTHON) -O -m crowwing
