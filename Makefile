# Targets that run something first create $(VENV) and install what they need there.
PYTHON ?= python3
VENV ?= .venv
PATHS := $(wildcard $(CURDIR)/libs/*/src)
space := $(subst ,, )
export PYTHONPATH := $(subst $(space),:,$(PATHS))
READY := $(VENV)/.ready

.PHONY: demo test lint format matrix setup

setup: $(READY)

$(READY): constraints.txt tools/requirements.txt
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --requirement tools/requirements.txt
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation \
		$(foreach lib,$(wildcard libs/*),--editable $(lib))
	touch $@

demo: $(READY)
	$(VENV)/bin/python -m damaskjunction.lab demo

test: $(READY)
	$(VENV)/bin/python tools/check.py

lint: $(READY)
	$(VENV)/bin/python tools/check.py --only lint

format: $(READY)
	$(VENV)/bin/ruff format libs tools
	$(VENV)/bin/ruff check --fix libs tools

matrix: $(READY)
	$(VENV)/bin/python tools/check.py --only matrix
