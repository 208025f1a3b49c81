package yardusher.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.fleet.Labs.await;
import static yardusher.fleet.Labs.begun;
import static yardusher.fleet.Labs.breaches;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import yardusher.lab.fleet.FleetRun;
import yardusher.lab.fleet.Installation;

/** Failures at critical moments, with real processes. */
@Timeout(value = 150, unit = TimeUnit.SECONDS)
class HardCasesTest {
    @TempDir
    Path folder;

    private static String roll(Installation site, int agent, String id) { return site.order(agent, id, "roll", "restart away=1 failures=0", "-"); }

    private static String state(Installation site, int agent) { return Installation.cell(site.report(agent), "roll", "state"); }

    private static void said(Installation site, int agent, String text) throws Exception {
        await("a" + agent + " to say " + text, () -> {
            try {
                return Files.readString(site.log(agent)).contains(text);
            } catch (java.io.IOException e) {
                return false;
            }
        });
    }

    @Test
    void lateRequestOfDeadOwnerHasNoEffect() throws Exception {
        try (Installation site = begun(folder, 3, 1)) {
            roll(site, 0, "command-1");
            String id = Installation.cell(site.report(1), "roll", "id");
            await("an owner", () -> site.holder(1, "roll") >= 0);
            int owner = site.holder(1, "roll");
            int other = (owner + 1) % 3;
            for (int j = 0; j < 3; j++) {
                if (j != owner) { site.relay(owner, j).there.hold(); }
            }
            await("another owner", () -> site.holder(other, "roll") >= 0 && site.holder(other, "roll") != owner);
            site.kill(owner);
            for (int j = 0; j < 3; j++) {
                if (j != owner) { site.relay(owner, j).heal(); }
            }
            site.start(owner);
            await("the end of the roll", () -> state(site, other).equals("done"));
            assertThat(breaches(site, 1, Set.of(id))).isEmpty();
        }
    }

    @Test
    void anOwnerThatReachesOneTargetAndNotTheMajorityDoesNothingThere() throws Exception {
        try (Installation site = begun(folder, 5, 1)) {
            roll(site, 0, "command-1");
            String id = Installation.cell(site.report(1), "roll", "id");
            await("an owner", () -> site.holder(1, "roll") >= 0);
            int owner = site.holder(1, "roll");
            // If the reachable target were the leader, the owner would still reach the majority and rightly keep its lease.
            int leader = site.leader(1);
            int left = (owner + 1) % 5 == leader ? (owner + 2) % 5 : (owner + 1) % 5;
            for (int j = 0; j < 5; j++) {
                if (j != owner && j != left) {
                    site.relay(owner, j).cut();
                    site.relay(j, owner).cut();
                }
            }
            int other = (owner + 3) % 5;
            await("another owner", () -> site.holder(other, "roll") >= 0 && site.holder(other, "roll") != owner);
            for (int j = 0; j < 5; j++) {
                if (j != owner) {
                    site.relay(owner, j).heal();
                    site.relay(j, owner).heal();
                }
            }
            await("the end of the roll", () -> state(site, other).equals("done"));
            assertThat(breaches(site, 1, Set.of(id))).isEmpty();
        }
    }

    @Test
    void workPausesWithoutMajorityAndResumes() throws Exception {
        try (Installation site = begun(folder, 3, 1)) {
            roll(site, 0, "command-1");
            String id = Installation.cell(site.report(0), "roll", "id");
            site.kill(1);
            site.kill(2);
            assertThat(site.report(0)).contains("state=possibly old");
            assertThat(roll(site, 0, "command-2")).startsWith("-TRYAGAIN");
            site.start(1);
            site.start(2);
            await("the end of the roll", () -> state(site, 1).equals("done"));
            assertThat(roll(site, 1, "command-3")).contains("ordered");
            await("the end of the next", () -> state(site, 0).equals("done"));
            String next = Installation.cell(site.report(0), "roll", "id");
            assertThat(next).isNotEqualTo(id);
            assertThat(breaches(site, 1, Set.of(id, next))).isEmpty();
        }
    }

    @Test
    void restartsOnceDespiteAgentCrashOrHangingInstance() throws Exception {
        try (Installation site = begun(folder, 3, 1)) {
            long hanging = Long.parseLong(Files.readString(site.log(2)).replaceAll("(?s).*started pid=([0-9]+).*", "$1"));
            new ProcessBuilder("kill", "-STOP", Long.toString(hanging)).start().waitFor(); // it does not react to SIGTERM
            roll(site, 0, "command-1");
            String id = Installation.cell(site.report(0), "roll", "id");
            said(site, 1, "acts restart n1x0");
            site.kill(1);
            site.start(1);
            await("the end of the roll", () -> state(site, 0).equals("done"));
            assertThat(breaches(site, 1, Set.of(id))).isEmpty();
        }
    }

    @Test
    void oneOfTwoCommandsIsAcceptedDuringPartition() throws Exception {
        try (Installation site = begun(folder, 3, 1)) {
            for (int j = 1; j < 3; j++) {
                site.relay(0, j).cut();
                site.relay(j, 0).cut();
            }
            await("a leader on the other side", () -> site.leader(1) > 0);
            assertThat(roll(site, 0, "command-1")).startsWith("-TRYAGAIN");
            assertThat(roll(site, 1, "command-2")).contains("ordered");
            for (int j = 1; j < 3; j++) {
                site.relay(0, j).heal();
                site.relay(j, 0).heal();
            }
            await("the end of the roll", () -> state(site, 0).equals("done"));
            assertThat(roll(site, 0, "command-2")).contains("ordered"); // the remembered reply, no second roll
            assertThat(breaches(site, 1, Set.of(Installation.cell(site.report(0), "roll", "id")))).isEmpty();
            assertThat(site.history()).filteredOn(event -> event.what().startsWith("acts restart")).hasSize(3);
        }
    }

    @Test
    void targetRestartedBetweenSealAndStepRunsItOnce() throws Exception {
        try (Installation site = begun(folder, 3, 1)) {
            roll(site, 0, "command-1");
            String id = Installation.cell(site.report(0), "roll", "id");
            await("an owner", () -> site.holder(0, "roll") >= 0);
            int owner = site.holder(0, "roll");
            int target = owner == 2 ? 1 : 2;         // the last in the roll that does not belong to the owner
            said(site, target, " seals");
            site.kill(target);
            assertThat(site.history()).filteredOn(event -> event.target().equals("a" + target) && event.what().startsWith("acts")).isEmpty();
            site.start(target);
            await("the end of the roll", () -> state(site, owner).equals("done"));
            assertThat(site.history()).filteredOn(event -> event.target().equals("a" + target) && event.what().startsWith("acts restart")).hasSize(1);
            assertThat(breaches(site, 1, Set.of(id))).isEmpty();
        }
    }

    /** A real full disk is not available here; a file size limit makes writes fail with another error text. */
    @Test
    void memberWithFullDiskRejoinsOnceThereIsSpace() throws Exception {
        try (Installation site = begun(folder, 3, 1)) {
            int full = (site.leader(0) + 1) % 3;
            site.kill(full);
            site.allowDiskFull(full);
            site.start(full);
            await("agent " + full + " again", () -> Labs.ready(site, full));
            site.setDiskFull(full, true);
            assertThat(site.order((full + 1) % 3, "command-0", "ban", "s-00000001")).doesNotStartWith("-"); // the others are a majority
            said(site, full, "takes no part in the register: ");
            roll(site, (full + 1) % 3, "command-1");
            String id = Installation.cell(site.report((full + 1) % 3), "roll", "id");
            await("an owner that has room", () -> site.holder((full + 1) % 3, "roll") >= 0);
            assertThat(site.holder((full + 1) % 3, "roll")).isNotEqualTo(full);
            assertThat(site.history()).filteredOn(event -> event.target().equals("a" + full) && event.what().startsWith("acts")).isEmpty();
            site.setDiskFull(full, false);
            said(site, full, "takes part in the register again");
            await("the end of the roll", () -> state(site, full).equals("done"));
            assertThat(breaches(site, 1, Set.of(id))).isEmpty();
        }
    }

    @Test
    void aFewSeedsOfMixedFaults() throws Exception {
        for (long seed = 0; seed < 2; seed++) {
            FleetRun.Verdict verdict = FleetRun.play(folder.resolve("seed-" + seed), seed, 3, 1, 3);
            assertThat(verdict.breaches()).as("seed " + seed + " in " + folder).isEmpty();
        }
    }
}
