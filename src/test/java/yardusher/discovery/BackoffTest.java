package yardusher.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** When the watches of a whole fleet, which lose discovery at the same moment, ask again. */
class BackoffTest {
    @Test
    void aFleetThatLosesDiscoveryAtOnceAsksSpreadOutAndSeldom() {
        int fleet = 48;
        TreeMap<Integer, Integer> asks = new TreeMap<>(); // by tenths of a second
        int all = 0;
        for (int i = 0; i < fleet; i++) {
            Backoff backoff = new Backoff(100, 1000, 7000 + i);
            for (double at = backoff.nextDelayMs(); at < 10_000; at += backoff.nextDelayMs()) {
                asks.merge((int) (at / 100), 1, Integer::sum);
                all++;
            }
        }
        assertThat(all).isLessThan(15 * fleet);      // about one a second each, once the first few have failed
        asks.tailMap(10).values().forEach(count -> assertThat(count).as("of " + fleet + " in the same tenth").isLessThan(fleet / 3));
    }

    @Test
    void whatIsHeardBeginsAnew() {
        Backoff backoff = new Backoff(100, 1000, 1);
        for (int i = 0; i < 20; i++) { assertThat(backoff.nextDelayMs()).isBetween(50.0, 1500.0); }
        backoff.reset();
        assertThat(backoff.nextDelayMs()).isBetween(50.0, 150.0);
    }
}
