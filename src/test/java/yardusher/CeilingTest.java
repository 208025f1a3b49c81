package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import yardusher.CeilingRun.Trouble;

/** The ceiling under adversarial bursts that come when all ingresses of the set have seen low demand. */
class CeilingTest {
    private static final long DRAWS = 200;

    private static List<String> broken(long first, long draws, Set<Trouble> troubles) {
        return LongStream.range(first, first + draws).parallel().mapToObj(seed -> new CeilingRun(seed, troubles).play())
                .filter(run -> run.isBroken() || run.holdTooMuch()).map(CeilingRun::toString).toList();
    }

    /** Guards against ingresses that each spend more than their share because the others seem to spend less. */
    @Test
    void aBurstAtAllIngressesAfterACalmTimeStaysWithinTheCeiling() {
        assertThat(broken(0, DRAWS, EnumSet.noneOf(Trouble.class))).isEmpty();
    }

    @Test
    void aBurstStaysWithinTheCeilingWhileDatagramsAreLostAndIngressesRestart() {
        assertThat(broken(1000, DRAWS, EnumSet.of(Trouble.LOST_DATAGRAMS, Trouble.OLD_DATAGRAMS, Trouble.RESTARTS, Trouble.PAUSES))).isEmpty();
    }

    /** Guards against units that are earned again while the requests that hold them still wait for a connection. */
    @Test
    void requestsThatWaitForConnectionsStayWithinTheCeilingOnceTheseComeUp() {
        assertThat(broken(2000, DRAWS, EnumSet.of(Trouble.CUT_CONNECTIONS))).isEmpty();
    }

    /** Arguments: first seed, number of seeds. Prints runs that break the ceiling, and the fraction of requested units that were sent. */
    public static void main(String[] args) {
        long first = Long.parseLong(args[0]);
        long draws = Long.parseLong(args[1]);
        for (Set<Trouble> troubles : List.of(EnumSet.noneOf(Trouble.class), EnumSet.of(Trouble.CUT_CONNECTIONS), EnumSet.of(Trouble.RESTARTS),
                EnumSet.of(Trouble.PAUSES), EnumSet.allOf(Trouble.class))) {
            List<CeilingRun> runs = LongStream.range(first, first + draws).parallel().mapToObj(seed -> new CeilingRun(seed, troubles).play()).toList();
            List<CeilingRun> broken = runs.stream().filter(run -> run.isBroken() || run.holdTooMuch()).toList();
            broken.stream().limit(5).forEach(System.out::println);
            double reached = runs.stream().mapToDouble(run -> run.reached).sum();
            double asked = runs.stream().mapToDouble(run -> run.asked).sum();
            System.out.printf("%d of %d draws broken with %s; %.3f of the units asked for were sent on%n", broken.size(), draws, troubles, reached / asked);
        }
    }
}
