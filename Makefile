VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PACKAGES := core daemon command report standins gateway
SOURCES := $(foreach package,$(PACKAGES),packages/$(package)) platform
space := $(subst ,, )
export PYTHONPATH := $(CURDIR):$(subst $(space),:,$(foreach source,$(SOURCES),$(CURDIR)/$(source)/src))
STAMP := $(VENV)/.installed

.PHONY: venv format lint test bench timing capacity soak fault-soak demo generate

venv: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach source,$(SOURCES),--editable $(CURDIR)/$(source))
	touch $(STAMP)

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy $(foreach source,$(SOURCES),$(source)/src) benchmarks fault_soak

test: venv
	$(BIN)/pytest -q

bench: venv
	$(BIN)/python -m benchmarks

soak: venv
	HYPOTHESIS_PROFILE=soak $(BIN)/pytest -q -m "not slow" packages

fault-soak: venv
	$(BIN)/python -m fault_soak --seeds $(or $(SEEDS),10)

timing: venv
	$(BIN)/pytest -q benchmarks/timing --benchmark-enable --benchmark-columns=median,iqr,rounds

capacity: venv
	$(BIN)/python -m benchmarks.capacity

demo: venv
	$(BIN)/python -m gentianpaddle_command demo

generate: venv
	cd packages/daemon/src && $(CURDIR)/$(BIN)/python -m grpc_tools.protoc -I. \
	  --python_out=. --mypy_out=. --plugin=protoc-gen-mypy=$(CURDIR)/$(BIN)/protoc-gen-mypy \
	  --grpclib_python_out=. --plugin=protoc-gen-grpclib_python=$(CURDIR)/$(BIN)/protoc-gen-grpclib_python \
	  gentianpaddle_daemon/wire/messages.proto
