# Build, test and measure berylspread.  Needs python3 (3.11 or newer) and make.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PY := $(BIN)/python
STAMP := $(VENV)/.installed

PACKAGES := $(sort $(wildcard packages/*) platform)
SOURCES := $(wildcard packages platform features bench tools)
PROTO_ROOT := packages/berylspread/src
PROTOS := $(wildcard $(PROTO_ROOT)/berylspread/proto/*.proto)

# Cap on the behave processes that run at one time.
JOBS ?= 8

.DEFAULT_GOAL := help
.DELETE_ON_ERROR:
.PHONY: help setup demo fleet test lint format bench soak virtual-soak proto capacity constraints explore

help:
	@echo 'make demo         run a small assembly in one process (JSON=1: as JSON)'
	@echo 'make fleet        keep a fleet up on loopback for ten minutes'
	@echo 'make test         run the behave features (FEATURES="kernel jobs")'
	@echo 'make lint         check format, lint rules and types'
	@echo 'make format       format the sources'
	@echo 'make bench        run the benchmarks against their bounds'
	@echo 'make soak         run the programs as processes under faults (ARGS="...")'
	@echo 'make virtual-soak run random faults in virtual time (ARGS="...")'
	@echo 'make explore      run schedules of lost and late calls (ARGS="...")'
	@echo 'make capacity     measure the capacity figures'
	@echo 'make proto        regenerate the protobuf code'
	@echo 'make constraints  pin the requirements again'
	@echo 'make setup        create .venv'

setup: $(STAMP)

# pip installs only uv, at the version and hashes of constraints.txt; uv
# installs the rest.
$(STAMP): constraints.txt $(PACKAGES:%=%/pyproject.toml)
	@$(PYTHON) -c 'import sys; sys.exit(sys.version_info < (3, 11))' || \
	  { echo 'Python 3.11 or newer is required' >&2; exit 1; }
	$(PYTHON) -m venv $(VENV)
	sed -n '/^uv==/,/^    #/p' constraints.txt > $(VENV)/uv-pin.txt
	$(BIN)/pip install --quiet --require-hashes -r $(VENV)/uv-pin.txt
	VIRTUAL_ENV=$(abspath $(VENV)) $(BIN)/uv pip install --quiet \
	  --require-hashes -r constraints.txt
	VIRTUAL_ENV=$(abspath $(VENV)) $(BIN)/uv pip install --quiet \
	  --no-deps --no-build-isolation $(PACKAGES:%=-e %)
	@touch $@

demo: $(STAMP)
	$(PY) -m berylspread_standins.demo $(if $(filter 1,$(JSON)),--json_line)

# Three entry nodes and 24 workers on loopback for ten minutes.
fleet: $(STAMP)
	@$(PY) -m berylspread_standins.fleet $(ARGS)

test: $(STAMP)
	@$(PY) tools/run_features.py --jobs $(JOBS) $(FEATURES)

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 --jobs=auto $(SOURCES)
	$(BIN)/mypy $(PACKAGES:%=%/src)
	$(PY) tools/check_lint_scope.py

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

bench: $(STAMP)
	$(PY) -m bench.run $(ARGS)

soak: $(STAMP)
	$(PY) -m berylspread_standins.process_soak $(ARGS)

virtual-soak: $(STAMP)
	$(PY) -m berylspread_standins.soak $(ARGS)

explore: $(STAMP)
	$(PY) -m berylspread_standins.explorer $(ARGS)

capacity: $(STAMP)
	$(PY) -m bench.capacity $(ARGS)

proto: $(STAMP)
	$(if $(PROTOS),,$(error no .proto file in $(PROTO_ROOT)/berylspread/proto))
	$(PY) -m grpc_tools.protoc -I $(PROTO_ROOT) \
	  --python_out=$(PROTO_ROOT) --pyi_out=$(PROTO_ROOT) \
	  --grpc_python_out=$(PROTO_ROOT) $(PROTOS:$(PROTO_ROOT)/%=%)

# The pinned versions are kept where requirements.in allows it; UPGRADE=1
# moves to the newest ones.
constraints: $(STAMP)
	$(BIN)/uv pip compile --quiet --generate-hashes --no-emit-index-url \
	  --python-version 3.11 --universal $(if $(filter 1,$(UPGRADE)),--upgrade) \
	  requirements.in -o constraints.txt --no-header
