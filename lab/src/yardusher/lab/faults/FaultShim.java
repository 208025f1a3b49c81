package yardusher.lab.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import yardusher.lab.Group;

/** The preloaded library that fails system calls of one ingress, its switch and its log. The Maven build makes it from lab/shim. */
public final class FaultShim {
    private static final Path LIBRARY = Path.of(System.getProperty("lab.shim", "target/faults.so")).toAbsolutePath();

    private final Path control;
    private final Path log;
    private final Map<String, String> environment = new HashMap<>();

    /** Prepares the faults of ingress {@code number} of a group; none is injected before {@link #enable}. */
    public FaultShim(Group group, int number, List<FaultRule> rules, long seed) throws IOException {
        if (!Files.exists(LIBRARY)) { throw new IOException(LIBRARY + " is missing: mvn test-compile builds it with gcc"); }
        control = Files.writeString(group.folder().resolve("faults-" + number + ".switch"), "0").toAbsolutePath();
        log = group.folder().resolve("faults-" + number + ".log").toAbsolutePath();
        environment.put("LD_PRELOAD", LIBRARY.toString());
        environment.put("FAULT_RULES", rules.stream().map(FaultRule::toString).collect(Collectors.joining(";")));
        environment.put("FAULT_PORTS", "client=" + group.listen(number).getPort() + ",discovery=" + group.discovery().address(number).getPort());
        environment.put("FAULT_SEED", Long.toUnsignedString(seed));
        environment.put("FAULT_LOG", log.toString());
        environment.put("FAULT_SWITCH", control.toString());
    }

    public Map<String, String> environment() { return environment; }

    /** Starts or stops injecting faults. */
    public void enable(boolean on) throws IOException {
        try (var file = java.nio.channels.FileChannel.open(control, java.nio.file.StandardOpenOption.WRITE)) {
            file.write(java.nio.ByteBuffer.wrap(new byte[] {(byte) (on ? '1' : '0')}), 0);
        }
    }

    /** How often each kind of fault was injected so far, as CALL FAULT. */
    public Map<String, Integer> injected() throws IOException {
        Map<String, Integer> counts = new TreeMap<>();
        if (!Files.exists(log)) { return counts; }
        for (String line : Files.readAllLines(log)) {
            counts.merge(line.substring(0, line.lastIndexOf(' ')), 1, Integer::sum);
        }
        return counts;
    }
}
