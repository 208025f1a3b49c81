package yardusher.net;

import java.io.IOException;
import java.io.InputStream;
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
    private static final int MAX_TABLE_BYTES = 32 * 1024; // some 200 sockets
    private static final int LOCAL_ADDRESS = 1;      // columns of the table
    private static final int STATE = 3;
    private static final int QUEUES = 4;
    private static final String LISTENING = "0A";

    private AcceptQueue() { }

    /** The number of connections that wait, of all sockets that listen at this address; or {@link #UNKNOWN}. */
    static int length(InetSocketAddress address) {
        if (!(address.getAddress() instanceof Inet4Address)) { return UNKNOWN; }
        StringBuilder tables = new StringBuilder();
        for (Path table : TABLES) { tables.append(beginning(table)); }
        try {
            return length(tables.toString(), address);
        } catch (RuntimeException e) {               // another form than expected
            return UNKNOWN;
        }
    }

    private static String beginning(Path table) {
        try (InputStream in = Files.newInputStream(table)) {
            return new String(in.readNBytes(MAX_TABLE_BYTES), StandardCharsets.US_ASCII) + "\n";
        } catch (IOException e) {
            return "";
        }
    }

    static int length(String table, InetSocketAddress address) {
        String wanted = format(address);
        int waiting = UNKNOWN;
        for (String line : table.split("\n")) {
            if (!line.contains(wanted)) { continue; }
            String[] columns = line.trim().split(" +");
            boolean listens = columns.length > QUEUES && columns[STATE].equals(LISTENING);
            if (!listens || !columns[LOCAL_ADDRESS].equals(wanted) && !columns[LOCAL_ADDRESS].equals(MAPPED_PREFIX + wanted)) { continue; }
            String receiveQueue = columns[QUEUES].substring(columns[QUEUES].indexOf(':') + 1);
            waiting = Math.max(0, waiting) + Integer.parseInt(receiveQueue, 16);
        }
        return waiting;
    }

    /** As in the table: the address as one number in this machine's order of bytes, and the port. */
    private static String format(InetSocketAddress address) {
        byte[] bytes = address.getAddress().getAddress();
        boolean littleEndian = ByteOrder.nativeOrder() == ByteOrder.LITTLE_ENDIAN;
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < bytes.length; i++) { text.append(String.format("%02X", bytes[littleEndian ? bytes.length - 1 - i : i])); }
        return text.append(String.format(":%04X", address.getPort())).toString();
    }
}
