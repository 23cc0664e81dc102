# Build, test, lint and run; CONFIG names the configuration for 'make run'.
CONFIG ?= $(PROXY_CONFIG)

.PHONY: build test lint run check-config demo bench clean

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

# The node at work on loopback: builds what is needed, then shows two tiers with a hang and a drain in them, and what
# staff do with a node: drain and return, new settings, a replacement, long answers.
demo: build
	bin/brackenbridge lab demo
	bin/brackenbridge lab operate

# The hot paths of decisions and decoders, by JMH.
bench: build
	bin/brackenbridge lab bench

clean:
	mvn -q -B clean
