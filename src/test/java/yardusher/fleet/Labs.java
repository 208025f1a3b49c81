package yardusher.fleet;

import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.awaitility.Awaitility;
import yardusher.lab.fleet.Checker;
import yardusher.lab.fleet.Installation;

/** Helpers for tests with real agents. */
final class Labs {
    private static final Installation.Tuning QUICK = new Installation.Tuning(800, 100, 8000);

    private Labs() { }

    /** Waits for a condition on the processes, with a timeout. */
    static void await(String what, BooleanSupplier so) throws InterruptedException {
        Awaitility.await(what).pollInSameThread().pollDelay(Duration.ZERO).pollInterval(Duration.ofMillis(20)).atMost(Duration.ofSeconds(60)).until(so::getAsBoolean);
    }

    static Installation begun(Path folder, int agents, int instances) throws Exception {
        Installation site = new Installation(folder, agents, instances, QUICK);
        try {
            site.init();
            for (int i = 0; i < agents; i++) { site.start(i); }
            for (int i = 0; i < agents; i++) {
                int agent = i;
                await("agent " + i + " with ready instances", () -> ready(site, agent));
            }
            await("a leader", () -> site.leader(0) >= 0);
            return site;
        } catch (Exception | AssertionError e) {
            site.close();                            // nothing else would end its processes
            throw e;
        }
    }

    static boolean ready(Installation site, int agent) {
        String status = site.ask(agent, 2000, "AGENT.STATUS");
        return status != null && status.lines().allMatch(line -> line.contains(" ready "));
    }

    static Set<String> names(Installation site) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < site.agents(); i++) {
            for (int k = 0; k < site.instances(); k++) { names.add("n" + i + "x" + k); }
        }
        return names;
    }

    static List<String> breaches(Installation site, int away, Set<String> done) throws Exception {
        return Checker.breaches(site.history(), away, done, names(site));
    }
}
