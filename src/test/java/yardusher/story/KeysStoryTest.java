package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.member;
import static yardusher.story.StandIn.next;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yardusher.cli.IngressProcess;
import yardusher.settings.Settings;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Region;

/** A repeat at one real ingress: while the first runs, after it, and over a restart. */
class KeysStoryTest {
    @TempDir
    Path folder;
    private Region region;
    private IngressProcess serve;
    private volatile double later;                   // added to the clock
    private final long start = System.nanoTime();
    private final DoubleSupplier clock = () -> 1.7e12 + later + (System.nanoTime() - start) / 1e6;

    @BeforeEach
    void open() throws Exception {
        region = new Region();
        start();
    }

    private void start() throws Exception {
        Path own = folder.resolve("own.toml");
        Files.writeString(own, "[keys]\n[journal]\nfolder = '" + folder.resolve("journal") + "'\n");
        serve = StandIn.ingress(json -> json, config -> LongServing.of(config, null, Settings.read(own), clock), "127.0.0.1:9",
                member("s-1", region.address(), "Ready"));
    }

    @AfterEach
    void close() throws Exception {
        serve.close();
        region.close();
    }

    private Client client() throws Exception { return new Client(serve.front().server().address()); }

    private static void order(Client client, int id, String body) throws Exception {
        client.send("CALL.POST", "0000000000000007", String.format("%016x", id), "c=place-order,t=groot,d=4000,k=00000000000000ab,units=1,spread=1,first=0",
                body);
    }

    @Test
    void aRepeatGetsTheFirstAnswerByteForByteAndItsRegionSeesOneOrder() throws Exception {
        CountDownLatch answers = new CountDownLatch(1);
        region.script = command -> {
            try {
                answers.await(StandIn.PATIENCE_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return null;
            }
            return Region.served("order \u0000 of " + command.split(" ")[2]);
        };
        try (Client first = client(); Client second = client(); Client third = client()) {
            order(first, 1, "BODY");
            next(region.seen);
            order(second, 2, "BODY");
            order(third, 3, "OTHER");
            assertThat(third.told()).isEqualTo("-ERR this key is another request's");
            assertThat(third.ask("KEYS.SHOW", "ab")).startsWith("running ").contains("waiting=1");
            first.close();                           // the repeat keeps the attempt alive
            answers.countDown();
            String told = second.told();
            assertThat(told).isEqualTo("order \u0000 of 0000000000000001");
            order(third, 4, "BODY");
            assertThat(third.told()).isEqualTo(told);
            assertThat(region.seen).isEmpty();
            assertThat(third.ask("KEYS.STATS")).contains("keys_led=1 ", "keys_joined=1 ", "keys_answered=1 ", "keys_conflicts=1 ");
        }
    }

    @Test
    void overARestartAKeyThatRanIsSentAgainOnlyWhileRegionsDropTheRepeat() throws Exception {
        try (Client client = client()) {
            order(client, 1, "BODY");
            assertThat(client.told()).isEqualTo("made here");
        }
        serve.close();
        start();
        try (Client client = client()) {
            order(client, 2, "OTHER");
            assertThat(client.told()).isEqualTo("-ERR this key is another request's");
            order(client, 3, "BODY");
            assertThat(client.told()).isEqualTo("made here"); // by the region, which knows the key
            assertThat(region.seen).hasSize(2);
        }
        serve.close();
        later += 6000;                               // past the class's window
        start();
        try (Client client = client()) {
            order(client, 4, "BODY");
            assertThat(client.told()).isEqualTo("-ERR it ran, and its answer is held no more");
            assertThat(region.seen).hasSize(2);
        }
    }
}
