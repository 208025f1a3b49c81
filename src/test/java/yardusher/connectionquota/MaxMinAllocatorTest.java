package yardusher.connectionquota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Max-min by need and weight, and whom one asks. */
class MaxMinAllocatorTest {
    private final MaxMinAllocator allocator = new MaxMinAllocator();

    @Property(tries = 500)
    void sharesAddUpAndNoIngressGetsMoreWhileAnotherNeedsMore(@ForAll @Size(min = 1, max = 20) List<@IntRange(min = 0, max = 30) Integer> allowances,
            @ForAll @Size(min = 20, max = 20) List<@IntRange(min = 0, max = 40) Integer> needs) {
        allocator.clear();
        int total = 0;
        int needed = 0;
        for (int i = 0; i < allowances.size(); i++) {
            allocator.add(i, allowances.get(i), needs.get(i), needs.get(i), 1);
            total += allowances.get(i);
            needed += needs.get(i);
        }
        allocator.allocate(7, 0);
        int sum = 0;
        for (int i = 0; i < allowances.size(); i++) {
            sum += allocator.fairShare(i);
            assertThat(allocator.fairShare(i)).isBetween(0, needs.get(i));
            for (int j = 0; j < allowances.size(); j++) {
                if (allocator.fairShare(i) < needs.get(i)) { assertThat(allocator.fairShare(j)).isLessThanOrEqualTo(allocator.fairShare(i) + 1); }
            }
        }
        assertThat(sum).isEqualTo(Math.min(total, needed));
    }

    @Test
    void sharesFollowWeightsAndNeedComesBeforeWish() {
        allocator.clear();
        allocator.add(0, 12, 20, 20, 1);
        allocator.add(1, 0, 20, 20, 2);
        allocator.allocate(7, 0);
        assertThat(List.of(allocator.fairShare(0), allocator.fairShare(1))).containsExactly(4, 8);
        allocator.clear();                            // enough for what is used, not for what both would keep
        allocator.add(0, 10, 4, 10, 1);
        allocator.add(1, 2, 3, 6, 1);
        allocator.allocate(7, 0);
        assertThat(List.of(allocator.fairShare(0), allocator.fairShare(1), allocator.excess(0))).containsExactly(4, 3, 6);
    }

    @Test
    void ingressesWithoutAUnitGetOneInAnotherRotation() {
        Map<Integer, Integer> unitsByIngress = new HashMap<>();
        for (int rotation = 0; rotation < 60; rotation++) {
            allocator.clear();
            for (int i = 0; i < 6; i++) { allocator.add(i, i < 2 ? 1 : 0, 1, 1, 1); }
            allocator.allocate(7, rotation);
            for (int i = 0; i < 6; i++) { unitsByIngress.merge(i, allocator.fairShare(i), Integer::sum); }
        }
        assertThat(unitsByIngress.values()).allMatch(turns -> turns >= 5).satisfies(all -> assertThat(all.stream().mapToInt(i -> i).sum()).isEqualTo(120));
    }

    @Test
    void theIngressWithTheLargestExcessIsAskedFirst() {
        allocator.clear();
        allocator.add(0, 0, 5, 5, 1);
        allocator.add(1, 6, 1, 1, 1);
        allocator.add(2, 4, 1, 1, 1);
        allocator.allocate(7, 0);
        Map<Integer, Integer> requested = new HashMap<>();
        allocator.chooseLenders(0, 7, requested::put);
        assertThat(requested).isEqualTo(Map.of(1, 5, 2, 2));
    }
}
