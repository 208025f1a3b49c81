package yardusher.deployments;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import yardusher.Api.*;
import yardusher.Policy;

/**
 * The module alone under settings at the ends of what may be told, driven by requests, ends, leavers, lists, bans, bounds,
 * peers and timers in drawn orders. Times are in ms.
 */
class ExtremesTest {
    private static double one(SplittableRandom r, double... of) { return of[r.nextInt(of.length)]; }

    /** Settings of which each figure is drawn from zero, least, usual and greatest ones. */
    private static Settings draw(SplittableRandom r) {
        int gateways = (int) one(r, 1, 1, 2, 3, 100);
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 1 + r.nextInt(4); i > 0; i--) {
            classes.add(new RequestClass(one(r, 0.001, 5, 750, 30_000, 86_400_000), one(r, 0.001, 5, 2000, 86_400_000), one(r, 0, 1, 1e9), one(r, 0, 0.2, 1),
                    Effect.values()[r.nextInt(3)], Group.values()[r.nextInt(3)], one(r, 0, 1, 400, 86_400_000), r.nextInt(4) == 0));
        }
        List<Plan> plans = new ArrayList<>();
        for (int i = 1 + r.nextInt(4); i > 0; i--) {
            double rate = one(r, 0, 0.001, 5, 1e9), ceiling = one(r, 0, 0, 0.001, 50, 1e9);
            plans.add(new Plan(rate, rate > 0 ? one(r, 0.001, 1, 30, 1e9) : 0, (int) one(r, 0, 0, 1, 1e9), one(r, 0, 1, 1e6), ceiling,
                    ceiling > 0 ? one(r, 0.001, 1, 30, 1e9) : 0, one(r, 0, 3, 1e9), one(r, 0, 0.6, 1000)));
        }
        List<Metric> report = new ArrayList<>();
        for (int i = r.nextInt(4); i > 0; i--) { report.add(Metric.values()[r.nextInt(Metric.values().length)]); }
        return new Settings(r.nextInt(gateways), gateways, (int) one(r, 0, 0, 2), 1, classes, plans,
                new Limits((int) one(r, 1, 1, 2, 6, 1000), r.nextBoolean(), r.nextBoolean(), one(r, 0, 1, 2000, 3_600_000)),
                new Rules(one(r, 0, 0.16, 1), one(r, 0, 1, 15_000, 3_600_000), one(r, 0, 3, 1e9), one(r, 0, 1500, 1e9), one(r, 0, 10_000)),
                report, r.nextBoolean(), one(r, 0, 0.1, 60), one(r, 0, 1, 1e9), one(r, 0, 0.03, 1000), one(r, 0, 0.02, 1000));
    }

    /** A request as the rules see it. */
    private static final class Seen {
        final Request request;
        final RequestClass of;
        int attempts, finals;
        boolean out, left, over, ran, begun;
        long on;
        double sentAt, endsAt, ranAt;
        int ranZone, ranCell, outZone, outCell;

        Seen(Request request, RequestClass of) {
            this.request = request;
            this.of = of;
        }
    }

    private static final class Drive {
        final SplittableRandom r;
        final Settings settings;
        final Policy policy;
        final Map<Long, Seen> seen = new LinkedHashMap<>();
        final Map<Long, Server> listed = new HashMap<>();
        final Map<Long, Boolean> banned = new HashMap<>();
        final Map<Long, Integer> room = new HashMap<>(), open = new HashMap<>();
        final List<SetTimer> timers = new ArrayList<>();
        final List<Tell> told = new ArrayList<>();
        double now;
        long ids;
        int again, cancels;

        Drive(long seed) {
            r = new SplittableRandom(seed);
            settings = draw(r);
            now = one(r, 0, 1, 1_796_000_000_000.0);
            policy = new Policy(settings, r.nextLong(), now, this::take);
        }

        private void take(Action action) {
            if (action instanceof Send a) {
                sent(a);
            } else if (action instanceof Cancel a) {
                cancels++;
                Seen s = seen.get(a.id());
                assertThat(settings.limits().mayCancel()).as("may cancel").isTrue();
                assertThat(s.out && a.attempt() == s.attempts - 1).as("cancels what is out").isTrue();
                s.endsAt = now;
            } else if (action instanceof Refuse a) {
                Seen s = ends(a.id());
                assertThat(!s.ran || s.of.effect() == Effect.IDEMPOTENT || s.of.effect() == Effect.DEDUPLICATED && s.of.group() == Group.ALL)
                        .as("refused though a repeat may do harm").isTrue();
                assertThat(a.retryAfterMs()).isBetween(0.0, settings.limits().maxRetryAfterMs());
            } else if (action instanceof Fail a) {
                ends(a.id());
            } else if (action instanceof SetTimer a) {
                assertThat(a.atMs()).isFinite().isGreaterThanOrEqualTo(now);
                timers.add(a);
            } else if (action instanceof Tell a) {
                assertThat(settings.limits().mayMessagePeers() || a.to() == settings.self()).as("peers may be told").isTrue();
                assertThat(a.body()).hasSizeLessThanOrEqualTo(256).doesNotContain("NaN");
                told.add(a);
            }
        }

        private Seen ends(long id) {
            Seen s = seen.get(id);
            assertThat(s.out || s.left || s.over).as("request %d has an attempt out, left or is over at its final answer", id).isFalse();
            assertThat(++s.finals).as("final answers").isEqualTo(1);
            s.over = true;
            return s;
        }

        private void sent(Send a) {
            Seen s = seen.get(a.id());
            Server to = listed.get(a.server());
            assertThat(s.over || s.left).as("sent after its end").isFalse();
            assertThat(s.out).as("two attempts out").isFalse();
            assertThat(to.readiness()).isEqualTo(Readiness.READY);
            assertThat(banned.getOrDefault(a.server(), false)).as("sent to a banned one").isFalse();
            assertThat(open.merge(a.server(), 1, Integer::sum)).as("bound").isLessThanOrEqualTo(room.getOrDefault(a.server(), Integer.MAX_VALUE));
            assertThat(++s.attempts).as("attempts").isLessThanOrEqualTo(settings.limits().maxAttempts());
            assertThat(a.timeoutMs()).isFinite().isPositive().isLessThanOrEqualTo(Math.max(0.001, s.request.dueMs() - now));
            if (s.ran) {
                again++;
                assertThat(s.of.effect()).as("sent again though it may have run").isNotEqualTo(Effect.AT_MOST_ONCE);
                if (s.of.effect() == Effect.DEDUPLICATED) {
                    assertThat(now - s.ranAt).as("after the first that may have run").isLessThanOrEqualTo(s.of.windowMs());
                    assertThat(s.of.group() == Group.ALL || to.zone() == s.ranZone).as("in its zone").isTrue();
                    assertThat(s.of.group() != Group.CELL || to.cell() == s.ranCell).as("in its cell").isTrue();
                }
            }
            s.out = true;
            s.on = a.server();
            s.sentAt = now;
            s.endsAt = now + a.timeoutMs();
            s.outZone = to.zone();
            s.outCell = to.cell();
        }

        private void ends(Seen s, Outcome how) {
            if (!s.out) { return; }
            s.out = false;
            open.merge(s.on, -1, Integer::sum);
            if (!how.neverRan() && !s.ran) {
                s.ran = true;
                s.ranAt = s.sentAt;
                s.ranZone = s.outZone;
                s.ranCell = s.outCell;
            }
            boolean served = (how == Outcome.SERVED || s.begun) && !s.left;
            if (served) {
                s.over = true;
                s.finals++;
            }
            double[] load = r.nextInt(4) > 0 ? null : new double[] {one(r, 0, -1, Double.NaN, 1e300), one(r, 0, 5)};
            policy.on(now, new AttemptDone(s.request.id(), s.attempts - 1, s.on, how, now - s.sentAt, served || s.left, r.nextInt(9) == 0 ? one(r, 1, 1e9) : 0, load));
        }

        private void pass(double ms) {
            double until = now + ms;
            for (int guard = 0; guard < 30; guard++) {
                Seen first = null;
                for (Seen s : seen.values()) { first = s.out && !s.begun && s.endsAt <= until && (first == null || s.endsAt < first.endsAt) ? s : first; }
                SetTimer timer = null;
                for (SetTimer t : timers) { timer = t.atMs() <= until && (timer == null || t.atMs() < timer.atMs()) ? t : timer; }
                if (first == null && timer == null) { break; }
                if (first != null && (timer == null || first.endsAt <= timer.atMs())) {
                    now = Math.max(now, first.endsAt);
                    ends(first, r.nextInt(3) > 0 ? Outcome.TIMED_OUT : first.endsAt < first.sentAt + 1 ? Outcome.CANCELLED : Outcome.TIMED_OUT);
                } else {
                    timers.remove(timer);
                    now = Math.max(now, timer.atMs());
                    policy.on(now, new TimerFired(timer.token()));
                }
            }
            now = Math.max(now, until);
        }

        private Server server() {
            Readiness readiness = r.nextInt(4) > 0 ? Readiness.READY : Readiness.values()[r.nextInt(3)];
            return new Server(r.nextInt(6), r.nextInt(3), r.nextInt(3), one(r, 0, -1, 1, 1e9), one(r, 0, now, now + 5000, Math.max(0, now - 3000)), readiness);
        }

        private void list() {
            ListKind kind = ListKind.values()[r.nextInt(4)];
            List<Server> servers = new ArrayList<>();
            if (kind != ListKind.FAILED) { for (int i = r.nextInt(5); i > 0; i--) { servers.add(server()); } }
            if (kind == ListKind.FULL || kind == ListKind.CACHED) {
                listed.replaceAll((id, old) -> new Server(id, old.zone(), old.cell(), 1, 0, Readiness.GONE));
            }
            for (Server s : servers) { listed.put(s.id(), s); }
            listed.forEach((id, s) -> { if (s.readiness() == Readiness.GONE) { room.remove(id); } }); // a bound is of a server of the list
            policy.on(now, new ServerList(kind, servers));
        }

        private void step() {
            List<Seen> out = seen.values().stream().filter(s -> s.out).toList();
            switch (r.nextInt(16)) {
                case 0, 1, 2, 3 -> {
                    int k = r.nextInt(settings.classes().size());
                    double due = now + one(r, -1, 0, 0.001, 1) * settings.classes().get(k).deadlineMs() + one(r, 0, 500);
                    Binding only = r.nextInt(6) > 0 ? null : new Binding(r.nextInt(7) - 1, r.nextInt(4) - 1, r.nextInt(4) - 1);
                    Request q = new Request(++ids, k, r.nextInt(settings.plans().size()), r.nextInt(4), due, one(r, 0, 1, 2, 1e9),
                            r.nextInt(settings.gateways()), (int) one(r, 0, 1, 3, settings.gateways()), only);
                    seen.put(ids, new Seen(q, settings.classes().get(k)));
                    policy.on(now, q);
                }
                case 4, 5, 6, 7, 8 -> { if (!out.isEmpty()) { ends(out.get(r.nextInt(out.size())), Outcome.values()[r.nextInt(8)]); } }
                case 9 -> {
                    if (!out.isEmpty()) {
                        Seen s = out.get(r.nextInt(out.size()));
                        if (s.of.streamed() && !s.begun && s.endsAt > now && r.nextBoolean()) {
                            s.begun = true;          // its time no longer runs
                            policy.on(now, new FirstByte(s.request.id(), s.attempts - 1, s.on));
                            break;
                        }
                        s.left = true;
                        policy.on(now, new ClientGone(s.request.id()));
                    }
                }
                case 10 -> list();
                case 11 -> {
                    long id = r.nextInt(7);
                    boolean away = r.nextBoolean();
                    banned.put(id, away);
                    policy.on(now, new Ban(id, away));
                }
                case 12 -> {
                    long id = r.nextInt(6);
                    if (listed.containsKey(id) && listed.get(id).readiness() == Readiness.READY) {
                        int most = Math.max(open.getOrDefault(id, 0), (int) one(r, 0, 1, 5, Integer.MAX_VALUE));
                        room.put(id, most);
                        policy.on(now, new AttemptLimit(id, most));
                    }
                }
                case 13 -> {
                    boolean own = r.nextInt(5) == 0 || told.isEmpty();
                    String body = own ? "m" + Long.toString(r.nextLong() >>> 1, 36) : told.remove(told.size() - 1).body();
                    policy.on(now, r.nextInt(9) == 0 ? new SiblingProcess(r.nextBoolean(), r.nextBoolean()) : new PeerMessage(r.nextInt(settings.gateways()), body));
                }
                default -> pass(one(r, 0, 0.5, 20, 400, 3000));
            }
            if (!seen.isEmpty() && r.nextInt(8) == 0) {
                QuotaStatus standing = policy.quotaStatus(now, r.nextInt(5), r.nextInt(settings.plans().size()), one(r, 0, 1, 1e9), 0, settings.gateways());
                assertThat(new double[] {standing.limit(), standing.remaining(), standing.retryAfterMs(), standing.resetMs()}).doesNotContain(Double.NaN);
            }
        }

        Drive run(int steps) {
            list();
            for (int i = 0; i < steps; i++) { step(); }
            for (int i = 0; i < 200 && seen.values().stream().anyMatch(s -> s.out); i++) {
                for (Seen s : List.copyOf(seen.values())) { ends(s, Outcome.TIMED_OUT); }
                now += 400;
            }
            for (Seen s : seen.values()) { assertThat(s.left || s.finals == 1).as("request %s has its final answer", s.request).isTrue(); }
            return this;
        }
    }

    /** Guards the rules of requests at figures that no site of ours has. Of a spread of 0 a customer has one ingress. */
    @Property(tries = 100)
    void noRuleIsBrokenAtTheEndsOfWhatMayBeTold(@ForAll long seed) { new Drive(seed).run(150); }

    /** A check of the check: repeats and cancels do happen. */
    @org.junit.jupiter.api.Test
    void theDriveSendsAgainAndCancels() {
        int again = 0, cancels = 0;
        for (long seed = 0; seed < 40; seed++) {
            Drive drive = new Drive(seed).run(150);
            again += drive.again;
            cancels += drive.cancels;
        }
        assertThat(again).as("sent again").isPositive();
        assertThat(cancels).as("cancelled").isPositive();
    }

    /** Arguments: first seed, how many. Prints each seed that breaks something, and how many did. */
    public static void main(String[] args) {
        long first = Long.parseLong(args[0]), count = Long.parseLong(args[1]);
        int broken = 0;
        for (long seed = first; seed < first + count; seed++) {
            try {
                new Drive(seed).run(150);
            } catch (RuntimeException | AssertionError e) {
                broken++;
                System.out.println("seed " + seed + ": " + e.toString().replaceAll("\\s+", " ") + " at " + e.getStackTrace()[0]);
            }
        }
        System.out.printf("%d seeds from %d: %d broken%n", count, first, broken);
    }
}
