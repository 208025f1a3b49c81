package yardusher.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import yardusher.Api;
import yardusher.core.Counters;
import yardusher.core.EventLoop;
import yardusher.net.Sockets;
import yardusher.servers.BackendPool;

class DiscoveredBackendsTest {
    private static String news(int revision, boolean complete, String... members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + String.join(",", members) + "]}";
    }

    private static String member(String id, int port, String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port + "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":0,"
                + "\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    @Test
    void aNewIdAtAnOldAddressMeansThatTheOldOneIsGone() throws Exception {
        EventLoop loop = new EventLoop(() -> 0, e -> { throw new AssertionError(e); });
        Sockets sockets = new Sockets(loop);
        try {
            BackendPool pool = new BackendPool(sockets, new Counters(), List.of(), 250, 30_000, 8000, 10);
            DiscoveredBackends table = new DiscoveredBackends(List.of("hall-a"), pool);
            table.line(news(1, true, member("s-1", 81, "Ready"), member("s-2", 82, "Ready")));
            Api.ServerList told = table.line(news(2, false, member("s-3", 81, "Ready")));
            assertThat(told.servers()).extracting(Api.Server::id, Api.Server::readiness)
                    .contains(org.assertj.core.groups.Tuple.tuple(1L, Api.Readiness.GONE))
                    .contains(org.assertj.core.groups.Tuple.tuple(3L, Api.Readiness.READY));
            assertThat(pool.knows(1)).isFalse();
            assertThat(pool.knows(2)).isTrue();
            assertThat(pool.knows(3)).isTrue();
            // Named in the same news, the old one is what these say of it.
            told = table.line(news(3, false, member("s-2", 82, "Terminating"), member("s-4", 82, "Ready")));
            assertThat(told.servers()).extracting(Api.Server::readiness).containsExactly(Api.Readiness.DRAINING, Api.Readiness.READY);
        } finally {
            sockets.shutdown();
        }
    }

    /** Danger: memory that grows with every region there ever was, over days of releases. */
    @Test
    void regionsThatCameAndWentAreForgotten() throws Exception {
        EventLoop loop = new EventLoop(() -> 0, e -> { throw new AssertionError(e); });
        Sockets sockets = new Sockets(loop);
        try {
            BackendPool pool = new BackendPool(sockets, new Counters(), List.of(), 250, 30_000, 8000, 10);
            DiscoveredBackends table = new DiscoveredBackends(List.of("hall-a"), pool);
            for (int i = 1; i <= 10_000; i++) {
                String id = "s-" + Integer.toHexString(i);
                table.line(news(2 * i, false, member(id, 1000 + i % 200, "Ready")));
                if (i % 2 == 0) { table.line(news(2 * i + 1, false, member(id, 1000 + i % 200, "Gone"))); } // the others are replaced
            }
            assertThat(table.size()).isLessThanOrEqualTo(200);
            assertThat(table.everListed("s-1")).isFalse();
            assertThat(table.everListed("s-" + Integer.toHexString(10_000))).isTrue();
            assertThat(pool.knows(1)).isFalse();
            assertThat(pool.knows(9_000)).isFalse();
        } finally {
            sockets.shutdown();
        }
    }
}
