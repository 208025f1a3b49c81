package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import yardusher.CeilingRun.Disturbance;

/** The ceiling under adversarial bursts that come when all ingresses of the set have seen low demand. */
class CeilingTest {
    private static final long SEEDS = 200;

    private static List<String> broken(long first, long seeds, Set<Disturbance> disturbances) {
        return LongStream.range(first, first + seeds).parallel().mapToObj(seed -> new CeilingRun(seed, disturbances).play())
                .filter(run -> run.isBroken() || run.couldBreak()).map(CeilingRun::toString).toList();
    }

    /** Guards against ingresses that each spend more than their share because the others seem to spend less. */
    @Test
    void aBurstAtAllIngressesAfterACalmPeriodStaysWithinTheCeiling() {
        assertThat(broken(0, SEEDS, EnumSet.noneOf(Disturbance.class))).isEmpty();
    }

    @Test
    void aBurstStaysWithinTheCeilingWhileDatagramsAreLostAndIngressesRestart() {
        assertThat(broken(1000, SEEDS, EnumSet.of(Disturbance.LOST_DATAGRAMS, Disturbance.OLD_DATAGRAMS, Disturbance.RESTARTS, Disturbance.PAUSES))).isEmpty();
    }

    /** Guards against units that are earned again while the requests that hold them still wait for a connection. */
    @Test
    void requestsThatWaitedForConnectionsStayWithinTheCeiling() {
        assertThat(broken(2000, SEEDS, EnumSet.of(Disturbance.CUT_CONNECTIONS))).isEmpty();
    }

    /** Arguments: first seed, number of seeds. Prints runs that break the ceiling, and the fraction of requested units that were sent. */
    public static void main(String[] args) {
        long first = Long.parseLong(args[0]);
        long seeds = Long.parseLong(args[1]);
        for (Set<Disturbance> disturbances : List.of(EnumSet.noneOf(Disturbance.class), EnumSet.of(Disturbance.CUT_CONNECTIONS), EnumSet.of(Disturbance.RESTARTS),
                EnumSet.of(Disturbance.PAUSES), EnumSet.allOf(Disturbance.class))) {
            List<CeilingRun> runs = LongStream.range(first, first + seeds).parallel().mapToObj(seed -> new CeilingRun(seed, disturbances).play()).toList();
            List<CeilingRun> broken = runs.stream().filter(run -> run.isBroken() || run.couldBreak()).toList();
            broken.stream().limit(5).forEach(System.out::println);
            double reached = runs.stream().mapToDouble(run -> run.reachedUnits).sum();
            double requested = runs.stream().mapToDouble(run -> run.requestedUnits).sum();
            System.out.printf("%d of %d seeds broken with %s; %.3f of the requested units were sent%n", broken.size(), seeds, disturbances, reached / requested);
        }
    }
}
