BUILD ?= build

.PHONY: all deps build run test unit functional lint format bench capacity \
	soak sanitize clean

all: build

deps:
	./scripts/install_deps.sh

build:
	@cmake -S . -B $(BUILD) -DSANITIZE=$(or $(SANITIZE),OFF) >/dev/null
	@cmake --build $(BUILD) -j "$$(nproc)"

run: deps build
	./scripts/demo.sh --build "$(abspath $(BUILD))"

clean:
	rm -rf build build-*
