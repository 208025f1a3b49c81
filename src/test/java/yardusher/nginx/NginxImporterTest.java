package yardusher.nginx;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yardusher.cli.IngressConfig;
import yardusher.error.ConfigError;

class NginxImporterTest {
    @TempDir
    Path folder;

    @Test
    void upstreamAndLocationsBecomeAConfigurationThatServeReads() throws Exception {
        NginxImporter.Result result = NginxImporter.run(Files.readString(Path.of("example/shop.conf")), null);
        Path file = folder.resolve("out.json");
        Files.writeString(file, result.json());
        IngressConfig config = IngressConfig.read(file.toString());
        assertThat(config.listen()).hasToString("/127.0.0.1:6379");
        assertThat(config.classes()).containsExactly("lookup", "place-order");
        assertThat(config.settings().classes()).extracting(c -> c.deadlineMs() + " " + c.effect())
                .containsExactly("2500.0 IDEMPOTENT", "8000.0 AT_MOST_ONCE");
        assertThat(config.plans()).containsExactly("basis");
        assertThat(config.settings().plans().get(0)).extracting(p -> p.ratePerS() + " " + p.burst()).isEqualTo("2.0 8.0");
        assertThat(config.known().objects("members")).extracting(m -> m.text("host_port") + " " + m.number("size"))
                .containsExactly("127.0.0.1:7001 2.0", "127.0.0.1:7002 1.0");
        assertThat(result.notes()).containsExactly(
                "line 2: limit_req_zone: becomes the plan basis; its key $http_x_partner does not: transactions name their partner",
                "line 5: least_conn: not supported; the decision module chooses the region",
                "line 6: server: max_fails=3 is not supported",
                "line 23: proxy_set_header: not supported");
    }

    @Test
    void everythingWithoutACounterpartIsNamedWithItsLine() throws Exception {
        NginxImporter.Result result = NginxImporter.run("""
                http {
                  gzip on;
                  upstream a { server 10.0.0.1; server b.example:80; server 10.0.0.2:81 down backup; server unix:/x; }
                  upstream b { server 10.0.0.3:80; }
                  server {
                    listen 8080 ssl; # a comment; with { signs }
                    location = "/a b" { proxy_pass http://a/x; if ($x = 1) { return 403; } limit_req zone=none; }
                    location / { proxy_pass http://b; }
                    location /static { root /var/www; }
                  }
                }
                """, "a");
        assertThat(result.notes()).extracting(note -> note.substring(0, note.indexOf(':', 8))).containsExactly(
                "line 2: gzip", "line 3: server", "line 3: server", "line 3: server", "line 4: upstream", "line 6: listen",
                "line 7: if", "line 7: limit_req", "line 7: location", "line 8: location", "line 9: location");
        assertThat(result.json()).contains("10.0.0.1:80", "10.0.0.2:81", "Terminating").doesNotContain("10.0.0.3");
    }

    @Test
    void whatIsNotNginxIsRefusedWithItsLine() {
        for (String[] bad : new String[][] {{"upstream a {\nserver x;", "line 1: block is not closed"}, {"a b", "line 1: .*not ended.*"},
            {"\n}", "line 2: unexpected.*"}, {";", "line 1: unexpected.*"}, {"a \"b", "line 1: quote is not closed"},
            {"{".repeat(100), "line 1: unexpected.*"}, {"a {".repeat(100), "line 1: blocks nested too deep"},
            {"upstream;", "line 1: upstream needs.*"}, {"gzip on;", "needs an upstream block"},
            {"upstream a { } upstream b { }", "needs one upstream named, of a, b"}, {"upstream a { }", "needs a location that passes to a"}}) {
            assertThatThrownBy(() -> NginxImporter.run(bad[0], null)).as(bad[0]).isInstanceOf(ConfigError.class)
                    .hasMessageMatching(bad[1]);
        }
    }
}
