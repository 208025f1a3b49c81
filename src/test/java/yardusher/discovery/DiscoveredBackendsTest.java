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

    private static int zone(List<String> zones, String locality) throws Exception { return told(zones, "s-1", locality == null ? "" : "\"locality\":\"" + locality + "\",").zone(); }

    private static Api.Server told(List<String> zones, String id, String more) throws Exception {
        EventLoop loop = new EventLoop(() -> 0, e -> { throw new AssertionError(e); });
        Sockets sockets = new Sockets(loop);
        try {
            BackendPool pool = new BackendPool(sockets, new Counters(), List.of(), 250, 30_000, 8000, 10);
            return new DiscoveredBackends(zones, pool).line(news(1, true, "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:81\"," + more + "\"phase\":\"Ready\"}"))
                    .servers().get(0);
        } finally {
            sockets.shutdown();
        }
    }

    /** Danger: a keyed request repeated in a zone that never saw its key, because two localities were taken for one zone. */
    @Test
    void aLocalityIsTheZoneItNamesOrOneOfItsOwn() throws Exception {
        List<String> halls = List.of("hall-a", "hall-b"), words = List.of("depot", "harbour"), numbered = List.of("north-1", "south-1", "1");
        assertThat(zone(halls, "b")).isEqualTo(1);
        assertThat(zone(halls, "hall-b")).isEqualTo(1);
        assertThat(zone(words, "harbour")).isEqualTo(1);
        assertThat(zone(words, "b")).as("where no name tells a letter, it is the place in the list").isEqualTo(1);
        assertThat(zone(List.of("x-a", "a"), "a")).as("the whole name goes before an end").isEqualTo(1);
        assertThat(zone(List.of("hall-b", "hall-c"), "b")).isZero();
        assertThat(zone(numbered, "south-1")).isEqualTo(1);
        assertThat(zone(numbered, "1")).isEqualTo(2);
        for (List<String> zones : List.of(halls, words, List.of("hall-b", "hall-c"), List.of("north-1", "south-1"), List.<String>of(), List.of(""))) {
            java.util.Set<Integer> seen = new java.util.HashSet<>();
            for (String other : new String[] {"1", "quay", "Z", "-", "\u00e9", "hall-d", "d", "x"}) {
                assertThat(zone(zones, other)).as(zones + " " + other).isGreaterThanOrEqualTo(zones.size()).isEqualTo(zone(zones, other));
                seen.add(zone(zones, other));
            }
            assertThat(seen).as("each is one of its own").hasSize(8);
        }
        assertThat(zone(List.of("hall-a"), null)).isZero();
        assertThat(zone(List.of(), null)).isZero();
        assertThat(zone(halls, null)).as("alone").isGreaterThanOrEqualTo(2);
    }

    @Test
    void backendsOfWhichNoCellIsToldShareNone() throws Exception {
        int one = told(List.of(), "s-1", "").cell(), other = told(List.of(), "s-2", "").cell();
        assertThat(one).isNotEqualTo(other).isGreaterThan(1_000_000);
        assertThat(told(List.of(), "s-1", "\"cell\":7,").cell()).isEqualTo(7);
    }

    /** Danger: two backends taken for one, of which only one is then ever asked. */
    @Test
    void idsOfAnyFormAreToldApart() {
        assertThat(DiscoveredBackends.id("s-5be2a07c")).isEqualTo(0x5be2a07cL);
        assertThat(DiscoveredBackends.id("s-1")).isEqualTo(1);
        java.util.Set<Long> seen = new java.util.HashSet<>();
        String[] forms = {"web-", "db-", "s-x", "s--", "i-0123456789ab", "", "10.0.0.1:6379/", "Aa", "BB", "-"};
        for (String form : forms) {
            for (int i = 0; i < 50; i++) { seen.add(DiscoveredBackends.id(form + i)); }
        }
        assertThat(seen).hasSize(forms.length * 50).allMatch(id -> id >= 0 && id < 1L << 32);
    }
}
