#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/brookmux ] || [ ! -x review/bin/case3 ]; then
	echo "build first: the command of deploy/balancer.toml, then review/build.sh" >&2
	exit 2
fi
exec review/bin/case3 review/3
