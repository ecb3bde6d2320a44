VENV := .venv
SEED := 1
SECONDS := 20
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test lint bench capacity experiment soak clean

demo: $(STAMP)
	$(PYTHON) -m bench.demo

test: $(STAMP)
	$(PYTHON) -m tests.run

lint: $(STAMP)
	$(VENV)/bin/black --check --quiet gooseberrydock tests bench
	$(VENV)/bin/ruff check --quiet gooseberrydock tests bench
	$(VENV)/bin/mypy

bench: $(STAMP)
	$(PYTHON) -m bench.latency

experiment: $(STAMP)
	$(PYTHON) -m bench.experiment

soak: $(STAMP)
	$(PYTHON) -m tests.soak --seed $(SEED) --seconds $(SECONDS)

capacity: $(STAMP)
	$(PYTHON) -m bench.capacity

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -c constraints.txt -e ".[dev]"
	touch $(STAMP)

clean:
	rm -rf $(VENV) out
