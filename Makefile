# Each target sets up what it needs; only Python 3.11 and make must be there.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo test lint types format proto fresh binary capacity clean

demo: $(READY)
	$(BIN)/wigeongw demo

test: $(READY)
	$(BIN)/python -m tools.run_tests

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check --require-hashes \
		-r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $(READY)

format: $(READY)
	$(BIN)/ruff check -q --select I --fix .
	$(BIN)/ruff format -q .

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8

types: $(READY)
	$(BIN)/mypy

proto: $(READY)
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
		--grpclib_python_out=. wigeongw/adapters/peer_pb/peer.proto

# Generated code must be what the generator makes of the committed source.
fresh: proto
	git diff --exit-code -- wigeongw/adapters/peer_pb

binary: $(READY)
	$(BIN)/python -m tools.build_binary

capacity: $(READY)
	$(BIN)/python -m bench.capacity

clean:
	rm -rf $(VENV) build dist
