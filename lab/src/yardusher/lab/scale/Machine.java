package yardusher.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the machine has and does. */
final class Machine {
    private Machine() { }

    /** A figure of /proc/meminfo, in MB. */
    static long memoryMb(String name) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
            if (line.startsWith(name + ":")) { return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024; }
        }
        throw new IOException("/proc/meminfo has no " + name);
    }

    /** How many descriptors a process may have. */
    static long descriptors() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/self/limits"))) {
            if (line.startsWith("Max open files")) { return Long.parseLong(line.substring(26).strip().split(" +")[0].replace("unlimited", "1000000000")); }
        }
        throw new IOException("/proc/self/limits has no open files");
    }

    /** Of a process that runs; 0 once it has ended. */
    static long residentKb(long pid) throws IOException {
        Path status = Path.of("/proc/" + pid + "/status");
        if (!Files.exists(status)) { return 0; }
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith("VmRSS:")) { return Long.parseLong(line.replaceAll("[^0-9]", "")); }
        }
        return 0;
    }

    /** Ticks of all cores so far, and those in which they had nothing to do. */
    static long[] ticks() throws IOException {
        String[] cells = Files.readAllLines(Path.of("/proc/stat")).get(0).split(" +");
        long all = 0;
        for (int i = 1; i <= 8 && i < cells.length; i++) { all += Long.parseLong(cells[i]); }
        return new long[] {all, Long.parseLong(cells[4])};
    }
}
