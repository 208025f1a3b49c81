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
public final class KeyedIntake implements RequestAcceptor {
    private final RequestAcceptor core;
    private final EventLoop loop;
    private final KeyTable<Asker> table;
    private final KeyTable.Rule[] rules;
    private final double retryAfterMs;
    private final Map<Long, Flight> flights = new HashMap<>(); // a key's transaction; as many as run

    public KeyedIntake(RequestAcceptor core, EventLoop loop, KeySettings settings, List<Api.RequestClass> classes, List<String> names) {
        settings.check(names);
        this.core = core;
        this.loop = loop;
        this.retryAfterMs = settings.retryAfterMs();
        table = new KeyTable<>(new FinishedKeys(settings.answerBytes()),
                new KeyTable.Bounds(settings.mostRunning(), settings.mostWaiting()));
        rules = new KeyTable.Rule[classes.size()];
        for (int i = 0; i < rules.length; i++) {
            Api.RequestClass of = classes.get(i);
            rules[i] = new KeyTable.Rule(of.effect(), of.group(), of.windowMs(), settings.lifetimeMs(names.get(i)));
        }
    }

    /** One request with a key: its own deadline, its own place on its connection. */
    private final class Asker implements RequestHandle {
        final IncomingRequest order;
        final long key;
        final double deadline;
        Deadlines.Entry lastCall;                    // while it waits; who leads has the core's
        boolean over;

        Asker(IncomingRequest order, long key) {
            this.order = order;
            this.key = key;
            this.deadline = loop.now() + order.waitMs();
        }

        @Override
        public IncomingRequest incoming() { return order; }

        @Override
        public boolean mayHaveRun() { return flights.containsKey(key) && flights.get(key).mayHaveRun(); }

        @Override
        public void terminalLeft() {
            if (!over) { leave(this); }
        }

        /** Whether this is its one final answer; nothing more is owed then. */
        private boolean last() {
            boolean first = !over;
            over = true;
            loop.deadlines().cancel(lastCall);
            return first;
        }

        void served(byte[] value) {
            if (last()) { order.terminal().served(value); }
        }

        void reject(long afterMs, boolean mayHaveRun) {
            if (last()) { order.terminal().reject(afterMs, mayHaveRun); }
        }

        void failed(String why, boolean mayHaveRun) {
            if (last()) { order.terminal().failed(why, mayHaveRun); }
        }
    }

    /** A run's transaction in the core. */
    private final class Flight implements Terminal {
        final Asker leader;
        RequestHandle stay;
        boolean over;

        Flight(Asker leader) { this.leader = leader; }

        boolean mayHaveRun() { return stay != null && stay.mayHaveRun(); }

        @Override
        public Session session() { return leader.order.terminal().session(); }

        @Override
        public void served(byte[] value) {
            if (end()) {
                leader.served(value);
                for (Asker one : table.ended(loop.now(), leader.key, KeyTable.Ending.SERVED, value).answered()) { one.served(value); }
            }
        }

        /** Who leads gets it as it comes. It is too large to be held, so repeats, now and later, hear that it ran. */
        @Override
        public ResponseStream beginStream(long length) {
            ResponseStream flow = leader.order.terminal().beginStream(length);
            return flow == null ? null : new ResponseStream() {
                @Override
                public void write(ByteBuffer bytes, Runnable taken) { flow.write(bytes, taken); }

                @Override
                public void end() { over(KeyTable.Ending.SERVED, flow::end); }

                @Override
                public void fail() { over(KeyTable.Ending.MAY_HAVE_RUN, flow::fail); }
            };
        }

        private void over(KeyTable.Ending ending, Runnable last) {
            if (!end()) { return; }
            if (leader.last()) { last.run(); }
            KeyTable.Next<Asker> next = table.ended(loop.now(), leader.key, ending, null);
            if (ending == KeyTable.Ending.SERVED) {
                for (Asker one : next.answered()) { one.failed("it ran, and its value is too large to be held", true); }
            } else {
                follow(next);
            }
        }

        @Override
        public void reject(long afterMs, boolean mayHaveRun) {
            if (end()) {
                leader.reject(afterMs, mayHaveRun);
                follow(table.ended(loop.now(), leader.key, ending(mayHaveRun), null));
            }
        }

        @Override
        public void failed(String why, boolean mayHaveRun) {
            if (end()) {
                leader.failed(why, mayHaveRun);
                follow(table.ended(loop.now(), leader.key, ending(mayHaveRun), null));
            }
        }

        private boolean end() {
            boolean first = !over;
            over = true;
            flights.remove(leader.key, this);
            return first;
        }
    }

    private static KeyTable.Ending ending(boolean mayHaveRun) {
        return mayHaveRun ? KeyTable.Ending.MAY_HAVE_RUN : KeyTable.Ending.NEVER_RAN;
    }

    @Override
    public RequestHandle accept(IncomingRequest order) {
        String told = order.command().key();
        if (told == null) { return core.accept(order); }
        long key = Long.parseUnsignedLong(told, 16);
        Asker asker = new Asker(order, key);
        KeyTable.Decision decision = table.arrive(loop.now(), key, order.command().fingerprint(), rules[order.classIndex()], asker);
        switch (decision.verdict()) {
            case LEAD -> lead(asker);
            case JOIN -> asker.lastCall = loop.deadlines().schedule(asker.deadline, () -> {
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

    private void lead(Asker asker) {
        loop.deadlines().cancel(asker.lastCall);
        Flight flight = new Flight(asker);
        flights.put(asker.key, flight);
        IncomingRequest o = asker.order;
        flight.stay = core.accept(new IncomingRequest(o.classIndex(), o.plan(), o.customer(), o.units(), o.first(), o.spread(),
                Math.max(1, asker.deadline - loop.now()), o.command(), flight, o.binding()));
    }

    /** Who waited when a run ended without a value: one leads, or all get to know that it may have run. */
    private void follow(KeyTable.Next<Asker> next) {
        for (Asker one : next.answered()) { one.failed("it may have run", true); }
        if (next.leads() == null) { return; }
        // After this turn's work: the core first ends the attempt of the run that is over.
        loop.defer(() -> {
            if (!next.leads().over) { lead(next.leads()); }
        });
    }

    private void leave(Asker asker) {
        asker.last();
        left(asker);
    }

    /** Somebody is in a run no more; with the last one the run ends, and with a leader that had not begun another leads. */
    private void left(Asker asker) {
        boolean empty = table.left(asker.key, asker);
        Flight flight = flights.get(asker.key);
        if (flight == null) {
            if (table.leaderless(asker.key)) { follow(table.ended(loop.now(), asker.key, KeyTable.Ending.NEVER_RAN, null)); }
            return;
        }
        if (!empty) { return; }
        boolean mayHaveRun = flight.mayHaveRun();
        flight.end();
        flight.stay.terminalLeft();
        follow(table.ended(loop.now(), asker.key, ending(mayHaveRun), null));
    }

    /** What a journal tells of an order of an earlier life; times in milliseconds. */
    public void restore(long key, long print, int classIndex, double sentAtMs, double endedAtMs, boolean ran) {
        if (classIndex >= 0 && classIndex < rules.length) { table.restore(loop.now(), key, print, rules[classIndex], sentAtMs, endedAtMs, ran); }
    }

    /** How long before now an order may have ended to be of any use to {@link #restore}. */
    public double longestLifetimeMs() {
        double longest = 0;
        for (KeyTable.Rule rule : rules) { longest = Math.max(longest, rule.lifetimeMs()); }
        return longest;
    }

    /** What is known of a key, in one line. */
    public String told(long key) {
        String told = table.told(loop.now(), key);
        return told == null ? "not known" : told;
    }

    /** Figures in one line of names and values. */
    public String line() {
        KeyTable.Counts c = table.counts;
        FinishedKeys held = table.finished();
        List<String> parts = new ArrayList<>(List.of("keys_running=" + table.running(), "keys_waiting=" + table.waiting(), "keys_held=" + held.keys(),
                "keys_bytes=" + held.bytes(), "keys_led=" + c.led, "keys_led_again=" + c.ledAgain, "keys_joined=" + c.joined,
                "keys_answered=" + c.answered, "keys_ran=" + c.ran, "keys_unknown=" + c.unknown, "keys_conflicts=" + c.conflicts, "keys_full=" + c.full,
                "keys_gone_by_age=" + held.goneByAge(), "keys_gone_by_size=" + held.goneBySize()));
        return String.join(" ", parts);
    }
}
