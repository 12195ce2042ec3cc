# The two commands of the README are `make demo` and `make test`.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all packages build test demo format check-format lint models clean

all: build

packages:
	scripts/install-packages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > $(BUILD).log 2>&1 || (cat $(BUILD).log; false)
	@mv $(BUILD).log $(BUILD)/configure.log
	ninja -C $(BUILD) -j $(JOBS)

test: build
	scripts/run-tests.sh $(BUILD)

demo: build
	scripts/demo.sh $(BUILD)

format:
	git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' | xargs clang-format -i

check-format:
	git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' | xargs clang-format --dry-run --Werror

lint: build
	git ls-files 'src/*.cpp' | xargs -P $(JOBS) -n 4 clang-tidy --quiet -p $(BUILD)

models:
	scripts/check-models.sh

clean:
	rm -rf $(BUILD)
