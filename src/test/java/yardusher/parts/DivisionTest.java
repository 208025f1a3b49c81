package yardusher.parts;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Max-min allocation by need and weight, and the choice of lenders. */
class DivisionTest {
    private final Division division = new Division();

    @Property(tries = 500)
    void nothingIsMadeOrLostAndNobodyGetsMoreWhileAnotherNeedsMore(@ForAll @Size(min = 1, max = 20) List<@IntRange(min = 0, max = 30) Integer> has,
            @ForAll @Size(min = 20, max = 20) List<@IntRange(min = 0, max = 40) Integer> uses) {
        division.clear();
        int all = 0;
        int used = 0;
        for (int i = 0; i < has.size(); i++) {
            division.add(i, has.get(i), uses.get(i), uses.get(i), 1);
            all += has.get(i);
            used += uses.get(i);
        }
        division.divide(7, 0);
        int sum = 0;
        for (int i = 0; i < has.size(); i++) {
            sum += division.fair(i);
            assertThat(division.fair(i)).isBetween(0, uses.get(i));
            for (int j = 0; j < has.size(); j++) {
                if (division.fair(i) < uses.get(i)) { assertThat(division.fair(j)).isLessThanOrEqualTo(division.fair(i) + 1); }
            }
        }
        assertThat(sum).isEqualTo(Math.min(all, used));
    }

    @Test
    void weightsAndFirstWhatIsUsed() {
        division.clear();
        division.add(0, 12, 20, 20, 1);
        division.add(1, 0, 20, 20, 2);
        division.divide(7, 0);
        assertThat(List.of(division.fair(0), division.fair(1))).containsExactly(4, 8);
        division.clear();                            // enough for what both need, not for what both would like to keep
        division.add(0, 10, 4, 10, 1);
        division.add(1, 2, 3, 6, 1);
        division.divide(7, 0);
        assertThat(List.of(division.fair(0), division.fair(1), division.excess(0))).containsExactly(4, 3, 6);
    }

    @Test
    void whereSomeGetNoneOthersDoInAnotherTurn() {
        Map<Integer, Integer> got = new HashMap<>();
        for (int turn = 0; turn < 60; turn++) {
            division.clear();
            for (int i = 0; i < 6; i++) { division.add(i, i < 2 ? 1 : 0, 1, 1, 1); }
            division.divide(7, turn);
            for (int i = 0; i < 6; i++) { got.merge(i, division.fair(i), Integer::sum); }
        }
        assertThat(got.values()).allMatch(turns -> turns >= 5).satisfies(all -> assertThat(all.stream().mapToInt(i -> i).sum()).isEqualTo(120));
    }

    @Test
    void whoHasMostBeyondItsPartIsAskedFirst() {
        division.clear();
        division.add(0, 0, 5, 5, 1);
        division.add(1, 6, 1, 1, 1);
        division.add(2, 4, 1, 1, 1);
        division.divide(7, 0);
        Map<Integer, Integer> asked = new HashMap<>();
        division.choose(0, 7, asked::put);
        assertThat(asked).isEqualTo(Map.of(1, 5, 2, 2));
    }
}
