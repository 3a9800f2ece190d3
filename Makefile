BUILD ?= build
SEED ?= 1

.PHONY: all deps build run test unit model platform clients functional http-clients fault-soak \
	fault-soak-short lint format sanitize soak bench capacity fuzz mutants clean

all: build

deps:
	./scripts/install_deps.sh

build:
	@cmake -S . -B $(BUILD) -DSANITIZE=$(or $(SANITIZE),OFF) >/dev/null
	@cmake --build $(BUILD) -j "$$(nproc)"

run: deps build
	./scripts/demo.sh --build "$(abspath $(BUILD))"

test: deps build unit platform clients fault-soak-short functional http-clients

unit: build
	./$(BUILD)/test/unit_tests

# Plays more random orders against the reference model than the unit tests do,
# from a seed on; ORDERS=1 plays one again: make model SEED=1 ORDERS=1000000
model: build
	SAPPHIREWEIR_MODEL_SEED=$(SEED) SAPPHIREWEIR_MODEL_ORDERS=$(or $(ORDERS),1000000) \
		./$(BUILD)/test/unit_tests model

platform: build
	./$(BUILD)/test/platform_tests

# Clients that are not trusted, at the platform programs' ports.
clients: build
	./$(BUILD)/test/client_tests

# Runs the platform programs under random faults, with one seed after the
# other: make fault-soak SEED=100 MINUTES=10
fault-soak: build
	./scripts/fault_soak.sh $(BUILD) $(SEED) $(or $(MINUTES),5)

fault-soak-short: build
	./$(BUILD)/test/fault_soak 1 6
	./$(BUILD)/test/fault_soak 4 6

functional: build
	./$(BUILD)/test/functional_tests

# Runs clients that are not trusted against the HTTP ports.
http-clients: build
	./$(BUILD)/test/http_client_tests

lint:
	./scripts/lint.sh $(BUILD)

format:
	git ls-files -co --exclude-standard '*.c' '*.h' | grep -v pb-c | xargs clang-format -i

sanitize:
	$(MAKE) BUILD=build-sanitize SANITIZE=ON unit

# Runs the unit tests with more random schedules than by default:
# make soak SEED=1000
soak: build
	SAPPHIREWEIR_SOAK_SEED=$(SEED) ./$(BUILD)/test/unit_tests

# Compares requests through an entry instance with direct libpq queries to the
# stand-in of a backend server.
bench: build
	./scripts/bench.sh

# Measures the cost of each further instance, database, team, key or change;
# docs/CAPACITY.md quotes the table.
capacity: build
	./$(BUILD)/test/capacity | tee $(BUILD)/capacity.md

fuzz:
	./scripts/fuzz.sh $(or $(SECONDS_EACH),15) $(SEED)

# Prints which unit tests notice each deliberate fault of test/mutants.
mutants:
	./scripts/mutants.sh

clean:
	rm -rf build build-*
