# Build, test, lint and run; CONFIG names the configuration for 'make run'.
CONFIG ?= $(PROXY_CONFIG)

.PHONY: build test lint run check-config clean

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

lint:
	mvn -q -B -DskipTests verify

run: build
	PROXY_CONFIG="$(CONFIG)" sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

check-config: build
	java -jar node/target/brackenbridge.jar check-config --config "$(CONFIG)"

clean:
	mvn -q -B clean
