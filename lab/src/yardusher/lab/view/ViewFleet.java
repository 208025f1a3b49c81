package yardusher.lab.view;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import yardusher.error.ViewError;
import yardusher.view.Membership;
import yardusher.view.View;
import yardusher.view.ViewSettings;

/** Members of one installation on a {@link ViewNet} that are started, killed, stopped and restarted; their table changes go to a checker. */
final class ViewFleet {
    /** One process, from its start to its end. */
    final class Life implements ViewNet.Process, Membership.World {
        final int number;                            // of this process, over the whole run
        final int place;
        final String name;
        final double beganMs;
        private final double clockMs;                // offset of its clock
        final Membership membership;
        final List<String> told = new ArrayList<>();
        final List<View.Change> batches = new ArrayList<>();
        boolean over;

        private Life(int number, int place, String name, String hall, double clockMs, Membership.Flaw flaw) {
            this.number = number;
            this.place = place;
            this.name = name;
            this.clockMs = clockMs;
            if (checker != null) { checker.observer(number, name); }
            beganMs = net.now();
            membership = Membership.flawed(settings, name, hall, ViewNet.address(place), seed * 7919 + number, time(net.now()), this, known, flaw);
            membership.follow(batches::add);
            membership.start(time(net.now()), ViewNet.address(place));
        }

        private double time(double now) { return now + clockMs; }

        @Override
        public void heard(double now, byte[] body) { membership.heard(time(now), body); }

        @Override
        public void tick(double now) { membership.tick(time(now)); }

        @Override
        public double next() { return membership.next() - clockMs; }

        @Override
        public void send(InetSocketAddress to, byte[] body) { net.send(place, to, body); }

        @Override
        public void wrong(ViewError error) { told.add(error.code()); }

        @Override
        public void held(String of, long life, long incarnation, View.State state) {
            if (checker != null && !(of.equals(name) && membership != null && membership.phase() != Membership.Phase.IN)) {
                checker.held(net.now(), number, of, life, incarnation, state);
            }
        }
    }

    final ViewNet net;
    final ViewSettings settings;
    private final long seed;
    private final ViewChecker checker;               // null if nothing is checked
    private final Membership.Flaw flaw;
    private final Map<Integer, Life> running = new LinkedHashMap<>();  // by node
    private final Map<Object, Object> whos = new HashMap<>();
    private final UnaryOperator<Object> known = who -> {
        Object before = whos.putIfAbsent(who, who);
        return before == null ? who : before;
    };
    private int lives;

    /** {@code seeds}: how many of the first nodes are seeds. */
    ViewFleet(ViewNet net, long seed, int seeds, ViewChecker checker, Membership.Flaw flaw) {
        this.net = net;
        this.seed = seed;
        this.checker = checker;
        this.flaw = flaw;
        List<InetSocketAddress> at = new ArrayList<>();
        for (int i = 0; i < seeds; i++) { at.add(ViewNet.address(i)); }
        settings = new ViewSettings(ViewNet.address(0), "lab", at);
    }

    static String name(int place) { return "n" + place; }

    Life start(int place) { return start(place, name(place), 0); }

    /** Starts a process with the given name and clock offset. */
    Life start(int place, String name, double clockMs) {
        Life life = new Life(lives++, place, name, "hall-" + (char) ('a' + place % 3), clockMs, flaw);
        running.put(place, life);
        net.put(place, life);
        return life;
    }

    void kill(int place) {
        Life life = running.remove(place);
        if (life == null) { return; }
        life.over = true;
        net.put(place, null);
        if (checker != null) { checker.ended(net.now(), life.membership.life()); }
    }

    void leave(int place) {
        Life life = running.get(place);
        if (life == null) { return; }
        if (checker != null) { checker.ended(net.now(), life.membership.life()); }
        life.membership.leave(net.now() + life.clockMs);
        kill(place);
    }

    Life at(int place) { return running.get(place); }

    List<Life> running() { return List.copyOf(running.values()); }

    List<Life> taking() { return running().stream().filter(life -> life.membership.phase() == Membership.Phase.IN).toList(); }

    /** Whether all running members hold the same view of that many members. */
    boolean isSettled(int size) {
        long digest = 0;
        boolean first = true;
        for (Life life : running.values()) {
            if (net.isStopped(life.place)) { continue; }
            if (life.membership.phase() != Membership.Phase.IN || life.membership.size() != size || !first && life.membership.digest() != digest) { return false; }
            digest = life.membership.digest();
            first = false;
        }
        return true;
    }

    /** Runs until exactly one process of each name is a member and all have the same view; returns the time it took, or -1. */
    double awaitSettledOf(java.util.Set<String> names, double mostMs) {
        double from = net.now();
        for (;;) {
            List<Life> taking = taking();
            if (taking.size() == names.size() && taking.stream().allMatch(life -> life.membership.size() == names.size()
                    && life.membership.digest() == taking.get(0).membership.digest())) { return net.now() - from; }
            if (net.now() - from > mostMs) { return -1; }
            net.until(net.now() + 10);
        }
    }

    /** Runs until all agree on that many members, checking every 10 ms; returns the time it took, or -1 after {@code timeoutMs}. */
    double awaitSettled(int size, double mostMs) {
        double from = net.now();
        while (!isSettled(size)) {
            if (net.now() - from > mostMs) { return -1; }
            net.until(net.now() + 10);
        }
        return net.now() - from;
    }

    /** Lets the checker compare the running processes with the views. */
    void calm() {
        Map<String, Long> truth = new HashMap<>();
        Map<Integer, Long> digests = new HashMap<>();
        for (Life life : taking()) {
            truth.put(life.name, life.membership.life());
            digests.put(life.number, life.membership.digest());
        }
        checker.calm(net.now(), truth, digests, digests.keySet());
    }

    /** Starts that many members at once and waits until all know all; returns the time it took, or -1. */
    double begin(int size, double mostMs) {
        for (int i = 0; i < size; i++) { net.place(); }
        for (int i = 0; i < size; i++) { start(i); }
        return awaitSettled(size, mostMs);
    }

    static double percentile(double[] values, double share) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)];
    }
}
