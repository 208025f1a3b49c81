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

/** Members of one view on a {@link ViewNet}: they start, die, leave, come again. What each comes to hold goes to a checker. */
final class ViewFleet {
    /** One life of one process. */
    final class Instance implements ViewNet.Process, Membership.Environment {
        final int number;                            // of this life, over all
        final int node;
        final String name;
        final double startedAtMs;
        private final double clockOffsetMs;                // what its clock is off by
        final Membership membership;
        final List<String> errorCodes = new ArrayList<>();
        final List<View.Change> changes = new ArrayList<>();
        boolean ended;

        private Instance(int number, int node, String name, String hall, double clockOffsetMs, Membership.Flaw flaw) {
            this.number = number;
            this.node = node;
            this.name = name;
            this.clockOffsetMs = clockOffsetMs;
            if (checker != null) { checker.setObserverName(number, name); }
            startedAtMs = net.now();
            membership = Membership.withFlaw(settings, name, hall, ViewNet.address(node), seed * 7919 + number, localTime(net.now()), this, interner, flaw);
            membership.subscribe(changes::add);
            membership.start(localTime(net.now()), ViewNet.address(node));
        }

        private double localTime(double now) { return now + clockOffsetMs; }

        @Override
        public void receive(double now, byte[] body) { membership.receive(localTime(now), body); }

        @Override
        public void tick(double now) { membership.tick(localTime(now)); }

        @Override
        public double nextTickMs() { return membership.nextTickMs() - clockOffsetMs; }

        @Override
        public void send(InetSocketAddress to, byte[] body) { net.send(node, to, body); }

        @Override
        public void reportError(ViewError error) { errorCodes.add(error.code()); }

        @Override
        public void memberChanged(String memberName, long instanceId, long incarnation, View.State state) {
            if (checker != null && !(memberName.equals(name) && membership != null && membership.phase() != Membership.Phase.IN)) {
                checker.recordChange(net.now(), number, memberName, instanceId, incarnation, state);
            }
        }
    }

    final ViewNet net;
    final ViewSettings settings;
    private final long seed;
    private final ViewChecker checker;               // null where nothing is checked
    private final Membership.Flaw flaw;
    private final Map<Integer, Instance> running = new LinkedHashMap<>();  // by place
    private final Map<Object, Object> identities = new HashMap<>();
    private final UnaryOperator<Object> interner = who -> {
        Object before = identities.putIfAbsent(who, who);
        return before == null ? who : before;
    };
    private int instanceCount;

    /** {@code seeds}: the first so many places. */
    ViewFleet(ViewNet net, long seed, int seeds, ViewChecker checker, Membership.Flaw flaw) {
        this.net = net;
        this.seed = seed;
        this.checker = checker;
        this.flaw = flaw;
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < seeds; i++) { addresses.add(ViewNet.address(i)); }
        settings = new ViewSettings(ViewNet.address(0), "lab", addresses);
    }

    static String nameOf(int node) { return "n" + node; }

    Instance start(int node) { return start(node, nameOf(node), 0); }

    /** Under another name than the place's, or with a clock that is off. */
    Instance start(int node, String name, double clockOffsetMs) {
        Instance instance = new Instance(instanceCount++, node, name, "hall-" + (char) ('a' + node % 3), clockOffsetMs, flaw);
        running.put(node, instance);
        net.setProcess(node, instance);
        return instance;
    }

    void kill(int node) {
        Instance instance = running.remove(node);
        if (instance == null) { return; }
        instance.ended = true;
        net.setProcess(node, null);
        if (checker != null) { checker.recordEnd(net.now(), instance.membership.instanceId()); }
    }

    void leave(int node) {
        Instance instance = running.get(node);
        if (instance == null) { return; }
        if (checker != null) { checker.recordEnd(net.now(), instance.membership.instanceId()); }
        instance.membership.leave(net.now() + instance.clockOffsetMs);
        kill(node);
    }

    Instance instanceAt(int node) { return running.get(node); }

    List<Instance> running() { return List.copyOf(running.values()); }

    List<Instance> participants() { return running().stream().filter(life -> life.membership.phase() == Membership.Phase.IN).toList(); }

    /** Whether all who run and take part hold the same picture of so many. */
    boolean isSettled(int size) {
        long digest = 0;
        boolean first = true;
        for (Instance instance : running.values()) {
            if (net.isPaused(instance.node)) { continue; }
            if (instance.membership.phase() != Membership.Phase.IN || instance.membership.size() != size || !first && instance.membership.digest() != digest) { return false; }
            digest = instance.membership.digest();
            first = false;
        }
        return true;
    }

    /** Goes on until exactly one process of each of these names takes part and all of those hold the same picture of so many. */
    double awaitSettledNames(java.util.Set<String> names, double timeoutMs) {
        double startMs = net.now();
        for (;;) {
            List<Instance> participants = participants();
            if (participants.size() == names.size() && participants.stream().allMatch(life -> life.membership.size() == names.size()
                    && life.membership.digest() == participants.get(0).membership.digest())) { return net.now() - startMs; }
            if (net.now() - startMs > timeoutMs) { return -1; }
            net.runUntil(net.now() + 10);
        }
    }

    /** Goes on until all are settled on so many, looking each 10 ms; the time it took, or -1 after {@code mostMs}. */
    double awaitSettled(int size, double timeoutMs) {
        double startMs = net.now();
        while (!isSettled(size)) {
            if (net.now() - startMs > timeoutMs) { return -1; }
            net.runUntil(net.now() + 10);
        }
        return net.now() - startMs;
    }

    /** Asks the checker to compare what is with what is held. */
    void checkAgreement() {
        Map<String, Long> truth = new HashMap<>();
        Map<Integer, Long> digests = new HashMap<>();
        for (Instance instance : participants()) {
            truth.put(instance.name, instance.membership.instanceId());
            digests.put(instance.number, instance.membership.digest());
        }
        checker.checkAgreement(net.now(), truth, digests, digests.keySet());
    }

    /** Starts so many at one moment and waits until all know all; the time it took, or -1. */
    double startAll(int size, double timeoutMs) {
        for (int i = 0; i < size; i++) { net.addNode(); }
        for (int i = 0; i < size; i++) { start(i); }
        return awaitSettled(size, timeoutMs);
    }

    static double percentile(double[] values, double share) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)];
    }
}
