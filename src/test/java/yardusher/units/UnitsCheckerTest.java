package yardusher.units;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yardusher.lab.units.UnitsChecker;
import yardusher.lab.units.UnitsChecker.PartStart;
import yardusher.lab.units.UnitsChecker.Execution;
import yardusher.lab.units.UnitsChecker.HomeEvent;
import yardusher.lab.units.UnitsChecker.ClientRequest;

/** Each rule of the checker can fail, and a good run breaks none. */
class UnitsCheckerTest {
    private final List<HomeEvent> homeEvents = new ArrayList<>();
    private final List<PartStart> partStarts = new ArrayList<>();
    private final List<Execution> executions = new ArrayList<>();
    private final List<ClientRequest> clientRequests = new ArrayList<>();

    @BeforeEach
    void addRunWithoutBreach() {
        homeEvents.add(new HomeEvent(1, "n0", "opened", "n0.1.1", "unit", 0, 0));
        homeEvents.add(new HomeEvent(100, "n0", "ended", "n0.1.1", "done", 0, 0));
        for (int part = 1; part <= 2; part++) {
            partStarts.add(new PartStart(part * 10, "n1", "n0.1.1", part, part, "id" + part));
            executions.add(new Execution("r" + part, "hall-a", "id" + part, part * 10, part * 10 + 5, part * 10 + 5));
            clientRequests.add(new ClientRequest("id" + part, ",u=n0.1.1,p=" + part, "5", part * 10 - 1, 500, part * 10 + 6, 1, true, false));
        }
    }

    private String breaches() { return String.join("\n", UnitsChecker.check(new UnitsChecker.History(homeEvents, partStarts, executions, clientRequests, List.of(), true, 0))); }

    private void addExecution(int part, String zone, String region, double from, double to) {
        partStarts.add(new PartStart(from, "n1", "n0.1.1", part, 9, "id" + part + zone + from));
        executions.add(new Execution(region, zone, "id" + part + zone + from, from, to, to));
    }

    @Test
    void runWithoutBreachPasses() { assertThat(breaches()).isEmpty(); }

    @Test
    void unitInTwoZones() {
        addExecution(3, "hall-b", "r1", 30, 35);
        assertThat(breaches()).contains("ran at two halls");
    }

    @Test
    void sessionAtTwoRegions() {
        homeEvents.set(0, new HomeEvent(1, "n0", "opened", "n0.1.1", "session", 0, 0));
        assertThat(breaches()).contains("ran at two regions");
    }

    @Test
    void partStartedWhileTheOneBeforeRuns() {
        addExecution(3, "hall-a", "r1", 23, 30);
        assertThat(breaches()).contains("out while one that it follows may still run");
    }

    @Test
    void partsOutOfOrder() {
        addExecution(1, "hall-a", "r1", 40, 45);
        assertThat(breaches()).contains("out of order");
    }

    @Test
    void partWithTwoOpenAttempts() {
        addExecution(2, "hall-a", "r1", 22, 30);
        assertThat(breaches()).contains("out twice at once");
    }

    @Test
    void unitEndedTwice() {
        homeEvents.add(new HomeEvent(120, "n1", "ended", "n0.1.1", "abandoned", 0, 0));
        assertThat(breaches()).contains("ended twice");
    }

    @Test
    void unitNeverEnded() {
        homeEvents.remove(1);
        assertThat(breaches()).contains("never ended");
    }

    @Test
    void partAfterTheEnd() {
        addExecution(3, "hall-a", "r1", 110, 112);
        assertThat(breaches()).contains("begun after its unit ended");
    }

    @Test
    void bindingFreedWhileAPartRuns() {
        addExecution(3, "hall-a", "r1", 90, 112);
        assertThat(breaches()).contains("the binding was freed");
    }

    @Test
    void requestAdmittedTwice() {
        partStarts.add(new PartStart(30, "n2", "n0.1.1", 2, 3, "id2"));
        assertThat(breaches()).contains("let in 2 times");
    }

    @Test
    void requestInTwoUnits() {
        partStarts.add(new PartStart(30, "n2", "n0.1.2", 2, 3, "id2"));
        assertThat(breaches()).contains("a part of two units");
    }

    @Test
    void duplicateMissingLateAndInventedAnswers() {
        clientRequests.add(new ClientRequest("x1", "", "5", 1, 500, 2, 2, false, false));
        clientRequests.add(new ClientRequest("x2", "", "5", 1, 500, Double.NaN, 0, false, false));
        clientRequests.add(new ClientRequest("x3", "", "5", 1, 500, 600, 1, false, false));
        clientRequests.add(new ClientRequest("x4", ",u=n0.1.1,p=3", "5", 1, 500, 20, 1, true, false));
        clientRequests.add(new ClientRequest("x5", "", "5", 1, 500, 1100, 1, false, false));
        clientRequests.add(new ClientRequest("id2", ",u=n0.1.1,b=end", "5", 1, 500, 20, 1, true, false));
        assertThat(breaches()).contains("answered 2 times").contains("never answered").contains("answered late").contains("answered when it was lost").contains("no region ran it")
                .contains("a boundary alone reached a region");
    }
}
