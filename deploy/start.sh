# One ingress on a small machine. The heap follows the memory that the configuration names, since days differ: the
# rest is for code, classes, threads and buffers. The shell becomes the program, which gets the signals itself.
memory=$(sed -n 's/.*"memory_mb"[^0-9]*\([0-9][0-9]*\).*/\1/p' "$RELAY_CONFIG" 2>/dev/null | head -n 1)
heap=$((${memory:-128} / 2 - 8))
[ "$heap" -le 64 ] || heap=64
[ "$heap" -ge 12 ] || heap=12
young=$((heap / 3))
least=$((heap < 24 ? heap : 24))
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Xms${least}m -Xmx${heap}m -XX:MaxNewSize=${young}m \
    -Xss256k -XX:MaxDirectMemorySize=8m -XX:ReservedCodeCacheSize=24m -Djdk.nio.maxCachedBufferSize=16384 \
    -XX:SharedArchiveFile=target/yardusher.jsa -jar target/yardusher.jar serve "$@"
