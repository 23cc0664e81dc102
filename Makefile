# Build, test, lint and run; CONFIG names the configuration for 'make run'.
CONFIG ?= $(PROXY_CONFIG)
# What the operators gave; its kit holds what has to lie beside a site's file for the bench.
GIVEN ?= ../given

.PHONY: build test lint format run check-config demo bench sites clean

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

lint:
	mvn -q -B -DskipTests verify

# Formats all sources as 'verify' wants them.
format:
	mvn -q -B spotless:apply

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

# Lays beside the variants of deploy/sites what the bench wants there; says what is missing, and fails then.
SITE_FILES = sites/wire.json sites/real.json users/unlock.txt
sites:
	@missing=0; for file in $(SITE_FILES); do \
	  if [ ! -r "$(GIVEN)/kit/$$file" ]; then echo "missing: $(GIVEN)/kit/$$file" >&2; missing=1; \
	  else cp -f "$(GIVEN)/kit/$$file" deploy/sites/ && chmod u+w "deploy/sites/$${file##*/}" || exit 1; fi; \
	done; exit $$missing

clean:
	mvn -q -B clean
