# Entry points for people and CI. The build itself is CMake and Ninja.
BUILD ?= build
BUILD_TYPE ?= RelWithDebInfo
# Developers' builds go through ccache where it is there; the shipped build of deploy/system.toml never does.
LAUNCHER ?= $(shell command -v ccache)

.PHONY: configure build run test unit format format-check tidy capacity clean

configure:
	@tools/install_dependencies.sh
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=$(BUILD_TYPE) \
		-DCMAKE_CXX_COMPILER_LAUNCHER=$(LAUNCHER) > $(BUILD).configure.log 2>&1 || (cat $(BUILD).configure.log; exit 1)
	@rm -f $(BUILD).configure.log

build: configure
	@cmake --build $(BUILD)

# The demo: two regions with two VMs each and every outside system as a stand-in, on loopback.
run: build
	@$(BUILD)/tests/cardamomstream-demo --binary $(BUILD)/src/app/cardamomstream --standins $(BUILD)/standins/cardamomstream-standins

test: build
	@tools/run_tests.sh $(BUILD)

format:
	@git ls-files '*.h' '*.cpp' ':!:*.pb.*' | xargs clang-format -i

format-check:
	@git ls-files '*.h' '*.cpp' ':!:*.pb.*' | xargs clang-format --dry-run --Werror

tidy: configure
	@tools/run_tidy.sh $(BUILD)

# Measures the slopes that docs/CAPACITY.md is worked out from.
capacity: build
	@tools/capacity.sh $(BUILD)

clean:
	@rm -rf $(BUILD)
