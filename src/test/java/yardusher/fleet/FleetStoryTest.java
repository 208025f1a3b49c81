package yardusher.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.fleet.Labs.await;
import static yardusher.fleet.Labs.begun;
import static yardusher.fleet.Labs.breaches;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import yardusher.lab.fleet.History;
import yardusher.lab.fleet.Installation;

/** Real agents with real instances; every link between agents runs through a relay. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class FleetStoryTest {
    @TempDir
    Path folder;

    @Test
    void rollContinuesUnderNextOwnerAndFencesFormerOne() throws Exception {
        try (Installation site = begun(folder, 3, 1)) {
            assertThat(site.order(1, "command-1", "roll", "restart away=1 failures=0", "-")).contains("roll ").contains(" ordered");
            assertThat(site.order(2, "command-1", "roll", "restart away=1 failures=0", "-")).contains(" ordered"); // retry
            assertThat(site.order(2, "command-2", "roll", "reload", "-")).startsWith("-REFUSED roll ordered by lab is running");
            String id = Installation.cell(site.report(1), "roll", "id");
            await("an owner", () -> site.holder(1, "roll") >= 0);
            int owner = site.holder(1, "roll");
            int other = (owner + 1) % 3;
            site.pause(owner);                       // for longer than its lease; its instance keeps running
            await("another owner", () -> site.holder(other, "roll") >= 0 && site.holder(other, "roll") != owner);
            assertThat(Installation.cell(site.report(other), "roll", "state")).isEqualTo("running");
            site.resume(owner);
            await("the end of the roll", () -> Installation.cell(site.report(other), "roll", "state").equals("done"));
            assertThat(Installation.cell(site.report(other), "roll", "progress")).startsWith("3 of 3 done");
            assertThat(breaches(site, 1, Set.of(id))).isEmpty();
        }
    }

    @Test
    void bansReachAllInstancesAndThoseThatStartLater() throws Exception {
        try (Installation site = begun(folder, 3, 1)) {
            assertThat(site.order(0, "command-1", "ban", "s-00000001")).contains("bans revision 1");
            await("the ban at all agents", () -> Installation.cell(site.report(2), "bans", "progress").equals("revision 1 at all 3 agents"));
            site.kill(1);
            assertThat(site.order(0, "command-2", "unban", "s-00000001")).contains("bans revision 2");
            site.start(1);
            await("the end of the ban at all agents", () -> Installation.cell(site.report(2), "bans", "progress").equals("revision 2 at all 3 agents"));
            List<History.Event> events = site.history();
            assertThat(events).filteredOn(event -> event.target().equals("a1") && event.what().startsWith("started")).hasSize(1); // adopted
            assertThat(breaches(site, 0, Set.of())).isEmpty();
        }
    }

    @Test
    void refusesForeignInstallationsAndForgedTokens() throws Exception {
        try (Installation site = begun(folder, 3, 1)) {
            assertThat(site.ask(0, 2000, "FLEET.SEAL", "elsewhere", "roll", "5")).startsWith("-ERR this agent belongs to installation lab");
            assertThat(site.ask(0, 2000, "FLEET.SEAL", "lab", "roll", "999999999")).startsWith("-UNPROVEN");
            assertThat(site.ask(0, 2000, "FLEET.SEAL", "lab", "roll", "x")).startsWith("-ERR");
            assertThat(site.ask(0, 2000, "FLEET.SEAL", "lab", "roll", "-1")).startsWith("-ERR");
            assertThat(site.ask(0, 2000, "FLEET.DO", "lab", "roll", "7", "1/n0x0", "restart n0x0")).startsWith("-UNSEALED");
            assertThat(site.ask(0, 2000, "FLEET.DO", "lab", "roll", "7", "1/n0x0", "restart nobody")).startsWith("-ERR no instance");
            assertThat(site.ask(0, 2000, "FLEET.RAFT", "lab", "a1", "nonsense")).startsWith("-ERR");
            assertThat(site.ask(0, 2000, "FLEET.RAFT", "lab", "nobody", "")).startsWith("-ERR no member");
            assertThat(site.ask(0, 2000, "FLEET.OP", "lab", "nonsense")).startsWith("-ERR");
            assertThat(site.ask(0, 2000, "FLEET.OP", "lab")).startsWith("-ERR");
            assertThat(site.history()).noneMatch(event -> event.what().startsWith("acts"));
        }
    }
}
