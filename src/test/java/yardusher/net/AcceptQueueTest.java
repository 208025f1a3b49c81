package yardusher.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;

class AcceptQueueTest {
    private static final String TABLE = """
              sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
               0: 0100007F:18EB 00000000:0000 0A 00000000:0000001F 00:00000000 00000000     0        0 7171 1 0
               1: 0100007F:18EC 00000000:0000 0A 00000000:00000007 00:00000000 00000000     0        0 7173 1 0
               2: 0000000000000000FFFF00000100007F:18EB 00000000000000000000000000000000:0000 0A 00000000:00000010 00:00000000 00000000 0 0 71
               3: 0100007F:18EB 0100007F:A001 01 00000000:00000300 00:00000000 00000000     0        0 7174 1 0
            """;

    private static int length(String table, int port) throws IOException {
        return AcceptQueue.length(new BufferedReader(new StringReader(table)), new InetSocketAddress("127.0.0.1", port));
    }

    /** The table has addresses in the byte order of the machine; those on which the program runs are little-endian. */
    @Test
    void theConnectionsThatWaitAtAllListenersOfAnAddressAreCounted() throws IOException {
        assertThat(length(TABLE, 0x18eb)).isEqualTo(0x1f + 0x10);
        assertThat(length(TABLE, 0x18ed)).isEqualTo(AcceptQueue.UNKNOWN);
        assertThat(length("", 0x18eb)).isEqualTo(AcceptQueue.UNKNOWN);
    }

    @Test
    void theSystemTellsHowManyConnectionsWait() throws Exception {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        try (ServerSocket listener = new ServerSocket(0, 10, loopback);
                Socket first = new Socket(loopback, listener.getLocalPort()); Socket second = new Socket(loopback, listener.getLocalPort())) {
            InetSocketAddress address = new InetSocketAddress(loopback, listener.getLocalPort());
            assertThat(AcceptQueue.length(address)).isIn(2, AcceptQueue.UNKNOWN);
        }
    }
}
