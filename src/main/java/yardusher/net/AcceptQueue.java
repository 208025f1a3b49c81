package yardusher.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetSocketAddress;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Tells how many connections wait in the system to be accepted at an IPv4 address, from the tables of sockets that Linux gives in
 * /proc/net/tcp and tcp6 (see proc(5)): for a listening socket its receive queue is that number. Listening sockets come first there.
 */
final class AcceptQueue {
    /** The length is not known: no such system, or no such socket in the part of the table that is read. */
    static final int UNKNOWN = -1;

    /** An IPv4 address is in the first one where the socket is of IPv6, as the JDK's are. */
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp6"), Path.of("/proc/net/tcp"));
    private static final String MAPPED_PREFIX = "0000000000000000FFFF0000"; // of an IPv4 address in IPv6, on a little-endian machine
    private static final int MAX_LISTENERS = 500;    // that are looked at in a table
    private static final String[] NO_COLUMNS = {};
    private static final int LOCAL_ADDRESS = 1;      // columns of the table
    private static final int STATE = 3;
    private static final int QUEUES = 4;
    private static final String LISTENING = "0A";

    private AcceptQueue() { }

    /** The number of connections that wait, of all sockets that listen at this address; or {@link #UNKNOWN}. */
    static int length(InetSocketAddress address) {
        if (!(address.getAddress() instanceof Inet4Address)) { return UNKNOWN; }
        int waiting = UNKNOWN;
        for (Path path : TABLES) {
            try (BufferedReader table = Files.newBufferedReader(path, StandardCharsets.US_ASCII)) {
                waiting = add(waiting, length(table, address));
            } catch (IOException | RuntimeException e) { /* no such table, or of another form than expected */ }
        }
        return waiting;
    }

    private static int add(int waiting, int more) { return more == UNKNOWN ? waiting : Math.max(0, waiting) + more; }

    /** Reads the listening sockets at the beginning of a table. */
    static int length(BufferedReader table, InetSocketAddress address) throws IOException {
        String wanted = format(address);
        int waiting = UNKNOWN;
        table.readLine();                            // names of the columns
        for (int i = 0; i < MAX_LISTENERS; i++) {
            String line = table.readLine();
            String[] columns = line == null ? NO_COLUMNS : line.trim().split(" +");
            if (columns.length <= QUEUES || !columns[STATE].equals(LISTENING)) { break; }
            boolean isWanted = columns[LOCAL_ADDRESS].equals(wanted) || columns[LOCAL_ADDRESS].equals(MAPPED_PREFIX + wanted);
            if (isWanted) { waiting = add(waiting, receiveQueue(columns[QUEUES])); }
        }
        return waiting;
    }

    private static int receiveQueue(String queues) { return Integer.parseInt(queues.substring(queues.indexOf(':') + 1), 16); }

    /** As in the table: the address as one number in this machine's order of bytes, and the port. */
    private static String format(InetSocketAddress address) {
        byte[] bytes = address.getAddress().getAddress();
        boolean littleEndian = ByteOrder.nativeOrder() == ByteOrder.LITTLE_ENDIAN;
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < bytes.length; i++) { text.append(String.format("%02X", bytes[littleEndian ? bytes.length - 1 - i : i])); }
        return text.append(String.format(":%04X", address.getPort())).toString();
    }
}
