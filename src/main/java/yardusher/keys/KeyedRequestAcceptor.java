package yardusher.keys;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.Api;
import yardusher.core.Deadlines;
import yardusher.core.ResponseStream;
import yardusher.core.RequestAcceptor;
import yardusher.core.IncomingRequest;
import yardusher.core.Session;
import yardusher.core.RequestHandle;
import yardusher.core.Terminal;
import yardusher.core.EventLoop;

/**
 * Stands between the fronts and the core: a request whose key runs waits for it, and one whose key is over gets the answer
 * that is held. What leads becomes a transaction of the core, so quotas, regions and the journal see each run once. Used
 * in turns only.
 */
public final class KeyedRequestAcceptor implements RequestAcceptor {
    private final RequestAcceptor core;
    private final EventLoop loop;
    private final KeyTable<KeyedRequest> table;
    private final KeyTable.ClassPolicy[] rules;
    private final double retryAfterMs;
    private final Map<Long, CoreRequest> coreRequests = new HashMap<>(); // a key's transaction; as many as run

    public KeyedRequestAcceptor(RequestAcceptor core, EventLoop loop, KeySettings settings, List<Api.RequestClass> classes, List<String> names) {
        settings.checkClasses(names);
        this.core = core;
        this.loop = loop;
        this.retryAfterMs = settings.retryAfterMs();
        table = new KeyTable<>(new FinishedKeys(settings.answerBytes()),
                new KeyTable.Limits(settings.maxRunning(), settings.maxWaiting()));
        rules = new KeyTable.ClassPolicy[classes.size()];
        for (int i = 0; i < rules.length; i++) {
            Api.RequestClass of = classes.get(i);
            rules[i] = new KeyTable.ClassPolicy(of.effect(), of.group(), of.windowMs(), settings.lifetimeMs(names.get(i)));
        }
    }

    /** One request with a key: its own deadline, its own place on its connection. */
    private final class KeyedRequest implements RequestHandle {
        final IncomingRequest incoming;
        final long key;
        final double deadline;
        Deadlines.Entry deadlineTimer;                    // while it waits; who leads has the core's
        boolean over;

        KeyedRequest(IncomingRequest order, long key) {
            this.incoming = order;
            this.key = key;
            this.deadline = loop.now() + order.waitMs();
        }

        @Override
        public IncomingRequest incoming() { return incoming; }

        @Override
        public boolean mayHaveRun() { return coreRequests.containsKey(key) && coreRequests.get(key).mayHaveRun(); }

        @Override
        public void terminalLeft() {
            if (!over) { leave(this); }
        }

        /** Whether this is its one final answer; nothing more is owed then. */
        private boolean finish() {
            boolean first = !over;
            over = true;
            loop.deadlines().cancel(deadlineTimer);
            return first;
        }

        void served(byte[] value) {
            if (finish()) { incoming.terminal().served(value); }
        }

        void reject(long afterMs, boolean mayHaveRun) {
            if (finish()) { incoming.terminal().reject(afterMs, mayHaveRun); }
        }

        void failed(String why, boolean mayHaveRun) {
            if (finish()) { incoming.terminal().failed(why, mayHaveRun); }
        }
    }

    /** A run's transaction in the core. */
    private final class CoreRequest implements Terminal {
        final KeyedRequest leader;
        RequestHandle handle;
        boolean over;

        CoreRequest(KeyedRequest leader) { this.leader = leader; }

        boolean mayHaveRun() { return handle != null && handle.mayHaveRun(); }

        @Override
        public Session session() { return leader.incoming.terminal().session(); }

        @Override
        public void served(byte[] value) {
            if (end()) {
                leader.served(value);
                for (KeyedRequest one : table.complete(loop.now(), leader.key, KeyTable.RunOutcome.SERVED, value).answered()) { one.served(value); }
            }
        }

        /** Who leads gets it as it comes. It is too large to be held, so repeats, now and later, hear that it ran. */
        @Override
        public ResponseStream beginStream(long length) {
            ResponseStream flow = leader.incoming.terminal().beginStream(length);
            return flow == null ? null : new ResponseStream() {
                @Override
                public void write(ByteBuffer bytes, Runnable taken) { flow.write(bytes, taken); }

                @Override
                public void end() { over(KeyTable.RunOutcome.SERVED, flow::end); }

                @Override
                public void fail() { over(KeyTable.RunOutcome.MAY_HAVE_RUN, flow::fail); }
            };
        }

        private void over(KeyTable.RunOutcome ending, Runnable last) {
            if (!end()) { return; }
            if (leader.finish()) { last.run(); }
            KeyTable.Next<KeyedRequest> next = table.complete(loop.now(), leader.key, ending, null);
            if (ending == KeyTable.RunOutcome.SERVED) {
                for (KeyedRequest one : next.answered()) { one.failed("it ran, and its value is too large to be held", true); }
            } else {
                follow(next);
            }
        }

        @Override
        public void reject(long afterMs, boolean mayHaveRun) {
            if (end()) {
                leader.reject(afterMs, mayHaveRun);
                follow(table.complete(loop.now(), leader.key, ending(mayHaveRun), null));
            }
        }

        @Override
        public void failed(String why, boolean mayHaveRun) {
            if (end()) {
                leader.failed(why, mayHaveRun);
                follow(table.complete(loop.now(), leader.key, ending(mayHaveRun), null));
            }
        }

        private boolean end() {
            boolean first = !over;
            over = true;
            coreRequests.remove(leader.key, this);
            return first;
        }
    }

    private static KeyTable.RunOutcome ending(boolean mayHaveRun) {
        return mayHaveRun ? KeyTable.RunOutcome.MAY_HAVE_RUN : KeyTable.RunOutcome.NEVER_RAN;
    }

    @Override
    public RequestHandle accept(IncomingRequest order) {
        String told = order.command().key();
        if (told == null) { return core.accept(order); }
        long key = Long.parseUnsignedLong(told, 16);
        KeyedRequest asker = new KeyedRequest(order, key);
        KeyTable.Decision decision = table.admit(loop.now(), key, order.command().fingerprint(), rules[order.classIndex()], asker);
        switch (decision.verdict()) {
            case LEAD -> lead(asker);
            case JOIN -> asker.deadlineTimer = loop.deadlines().schedule(asker.deadline, () -> {
                if (asker.over) { return; }
                asker.failed("deadline passed", asker.mayHaveRun());
                left(asker);
            });
            case ANSWER -> asker.served(decision.value());
            case RAN -> asker.failed("it ran, and its answer is held no more", true);
            case UNKNOWN -> asker.failed("it may have run", true);
            case CONFLICT -> asker.failed("this key is another request's", false);
            default -> asker.reject((long) Math.ceil(retryAfterMs), false);
        }
        return asker;
    }

    private void lead(KeyedRequest asker) {
        loop.deadlines().cancel(asker.deadlineTimer);
        CoreRequest flight = new CoreRequest(asker);
        coreRequests.put(asker.key, flight);
        IncomingRequest o = asker.incoming;
        flight.handle = core.accept(new IncomingRequest(o.classIndex(), o.plan(), o.customer(), o.units(), o.first(), o.spread(),
                Math.max(1, asker.deadline - loop.now()), o.command(), flight, o.binding()));
    }

    /** Who waited when a run ended without a value: one leads, or all get to know that it may have run. */
    private void follow(KeyTable.Next<KeyedRequest> next) {
        for (KeyedRequest one : next.answered()) { one.failed("it may have run", true); }
        if (next.nextLeader() == null) { return; }
        // After this turn's work: the core first ends the attempt of the run that is over.
        loop.defer(() -> {
            if (!next.nextLeader().over) { lead(next.nextLeader()); }
        });
    }

    private void leave(KeyedRequest asker) {
        asker.finish();
        left(asker);
    }

    /** Somebody is in a run no more; with the last one the run ends, and with a leader that had not begun another leads. */
    private void left(KeyedRequest asker) {
        boolean empty = table.leave(asker.key, asker);
        CoreRequest flight = coreRequests.get(asker.key);
        if (flight == null) {
            if (table.hasNoLeader(asker.key)) { follow(table.complete(loop.now(), asker.key, KeyTable.RunOutcome.NEVER_RAN, null)); }
            return;
        }
        if (!empty) { return; }
        boolean mayHaveRun = flight.mayHaveRun();
        flight.end();
        flight.handle.terminalLeft();
        follow(table.complete(loop.now(), asker.key, ending(mayHaveRun), null));
    }

    /** What a journal tells of an order of an earlier life; times in milliseconds. */
    public void restore(long key, long print, int classIndex, double sentAtMs, double endedAtMs, boolean ran) {
        if (classIndex >= 0 && classIndex < rules.length) { table.restore(loop.now(), key, print, rules[classIndex], sentAtMs, endedAtMs, ran); }
    }

    /** How long before now an order may have ended to be of any use to {@link #restore}. */
    public double longestLifetimeMs() {
        double longest = 0;
        for (KeyTable.ClassPolicy rule : rules) { longest = Math.max(longest, rule.lifetimeMs()); }
        return longest;
    }

    /** What is known of a key, in one line. */
    public String describe(long key) {
        String told = table.describe(loop.now(), key);
        return told == null ? "not known" : told;
    }

    /** Figures in one line of names and values. */
    public String line() {
        KeyTable.Counts c = table.counts;
        FinishedKeys held = table.finished();
        List<String> parts = new ArrayList<>(List.of("keys_running=" + table.running(), "keys_waiting=" + table.waiting(), "keys_held=" + held.keys(),
                "keys_bytes=" + held.bytes(), "keys_led=" + c.led, "keys_led_again=" + c.ledAgain, "keys_joined=" + c.joined,
                "keys_answered=" + c.answered, "keys_ran=" + c.ran, "keys_unknown=" + c.unknown, "keys_conflicts=" + c.conflicts, "keys_full=" + c.full,
                "keys_gone_by_age=" + held.expired(), "keys_gone_by_size=" + held.evicted()));
        return String.join(" ", parts);
    }
}
