#!/bin/bash
# One ingress on a small machine. The heap follows the memory that the configuration names, since days differ: the
# rest is for code, classes, threads and buffers. The shell becomes the program, which gets the signals itself. Nothing
# here starts a second process: the platform may refuse that, so the file is read by the shell alone.
# Guards against a process that never reloads: whoever starts this under nohup, or from some schedulers, hands SIGHUP
# down ignored, and a JVM leaves that as it is. `env` gives it its default back and becomes the program in its turn.
status= default=
[ ! -r /proc/self/status ] || IFS= read -r -d '' status </proc/self/status || :
[[ $status =~ SigIgn:[[:space:]]*[0-9a-f]*[13579bdf][[:space:]] ]] && default="env --default-signal=HUP"
config=
[ ! -r "$RELAY_CONFIG" ] || IFS= read -r -d '' config <"$RELAY_CONFIG" || :
memory=128
[[ $config =~ '"memory_mb"'[[:space:]]*:[[:space:]]*([0-9]{1,6}) ]] && memory=${BASH_REMATCH[1]}
# Where a second address is named, the next version may run beside this one: two processes share the memory, and the
# heap of each is what half of it leaves beside the 40 MB of the machine itself.
if [[ $config =~ '"admin_addr"' ]]; then heap=$((10#$memory / 2 - 40)); else heap=$((10#$memory / 2 - 8)); fi
[ "$heap" -le 64 ] || heap=64
[ "$heap" -ge 12 ] || heap=12
young=$((heap / 3))
least=$((heap < 24 ? heap : 24))
exec $default java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Xms${least}m -Xmx${heap}m -XX:MaxNewSize=${young}m \
    -Xss256k -XX:MaxDirectMemorySize=8m -XX:ReservedCodeCacheSize=24m -Djdk.nio.maxCachedBufferSize=16384 \
    -Djava.net.preferIPv4Stack=true \
    -XX:SharedArchiveFile=target/yardusher.jsa -jar target/yardusher.jar serve "$@"
