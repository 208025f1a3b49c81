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
 * Deduplicates requests by idempotency key before they reach the core. A request whose key has a run waits for it; one whose
 * key is finished gets the stored answer. Only the leader of a run is passed to the core, so quotas, regions and the journal see
 * each run once. Used on the event loop only.
 */
public final class KeyedRequestAcceptor implements RequestAcceptor {
    private final RequestAcceptor core;
    private final EventLoop loop;
    private final KeyTable<KeyedRequest> table;
    private final KeyTable.ClassPolicy[] rules;
    private final double retryAfterMs;
    private final Map<Long, CoreRequest> coreRequests = new HashMap<>(); // by key, one for each run

    public KeyedRequestAcceptor(RequestAcceptor core, EventLoop loop, KeySettings settings, List<Api.RequestClass> classes,
            List<String> names) {
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

    /** An incoming request with a key; each has a deadline and a connection of its own. */
    private final class KeyedRequest implements RequestHandle {
        final IncomingRequest incoming;
        final long key;
        final double deadline;
        Deadlines.Entry deadlineTimer;               // while it waits; the core watches the leader's deadline
        boolean answered;

        KeyedRequest(IncomingRequest incoming, long key) {
            this.incoming = incoming;
            this.key = key;
            this.deadline = loop.now() + incoming.waitMs();
        }

        @Override
        public IncomingRequest incoming() { return incoming; }

        @Override
        public boolean mayHaveRun() { return coreRequests.containsKey(key) && coreRequests.get(key).mayHaveRun(); }

        @Override
        public void terminalLeft() {
            if (!answered) { leave(this); }
        }

        /** Marks the request as answered; returns whether it was not answered before. */
        private boolean finish() {
            boolean first = !answered;
            answered = true;
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

    /** The request of a run in the core, on behalf of its leader. */
    private final class CoreRequest implements Terminal {
        final KeyedRequest leader;
        RequestHandle handle;
        boolean ended;

        CoreRequest(KeyedRequest leader) { this.leader = leader; }

        boolean mayHaveRun() { return handle != null && handle.mayHaveRun(); }

        @Override
        public Session session() { return leader.incoming.terminal().session(); }

        @Override
        public void served(byte[] value) {
            if (end()) {
                leader.served(value);
                for (KeyedRequest one : table.complete(loop.now(), leader.key, KeyTable.RunOutcome.SERVED, value).answered()) {
                    one.served(value);
                }
            }
        }

        /** Streams the answer to the leader only. It is too large to be stored, so repeats are answered that the request ran. */
        @Override
        public ResponseStream beginStream(long length) {
            ResponseStream flow = leader.incoming.terminal().beginStream(length);
            return flow == null ? null : new ResponseStream() {
                @Override
                public void write(ByteBuffer bytes, Runnable taken) { flow.write(bytes, taken); }

                @Override
                public boolean hasBegun() { return flow.hasBegun(); }

                @Override
                public void end() { endStream(KeyTable.RunOutcome.SERVED, flow::end); }

                @Override
                public void fail() { endStream(KeyTable.RunOutcome.MAY_HAVE_RUN, flow::fail); }
            };
        }

        private void endStream(KeyTable.RunOutcome ending, Runnable last) {
            if (!end()) { return; }
            if (leader.finish()) { last.run(); }
            KeyTable.Next<KeyedRequest> next = table.complete(loop.now(), leader.key, ending, null);
            if (ending == KeyTable.RunOutcome.SERVED) {
                for (KeyedRequest one : next.answered()) { one.failed("it ran, and its value is too large to be held", true); }
            } else {
                settleWaiters(next);
            }
        }

        @Override
        public void reject(long afterMs, boolean mayHaveRun) {
            if (end()) {
                leader.reject(afterMs, mayHaveRun);
                settleWaiters(table.complete(loop.now(), leader.key, ending(mayHaveRun), null));
            }
        }

        @Override
        public void failed(String why, boolean mayHaveRun) {
            if (end()) {
                leader.failed(why, mayHaveRun);
                settleWaiters(table.complete(loop.now(), leader.key, ending(mayHaveRun), null));
            }
        }

        private boolean end() {
            boolean first = !ended;
            ended = true;
            coreRequests.remove(leader.key, this);
            return first;
        }
    }

    private static KeyTable.RunOutcome ending(boolean mayHaveRun) {
        return mayHaveRun ? KeyTable.RunOutcome.MAY_HAVE_RUN : KeyTable.RunOutcome.NEVER_RAN;
    }

    @Override
    public RequestHandle accept(IncomingRequest incoming) {
        String keyText = incoming.command().key();
        if (keyText == null) { return core.accept(incoming); }
        long key = Long.parseUnsignedLong(keyText, 16);
        KeyedRequest request = new KeyedRequest(incoming, key);
        KeyTable.Decision decision = table.admit(loop.now(), key, incoming.command().fingerprint(), rules[incoming.classIndex()], request);
        switch (decision.verdict()) {
            case LEAD -> lead(request);
            case JOIN -> request.deadlineTimer = loop.deadlines().schedule(request.deadline, () -> {
                if (request.answered) { return; }
                request.failed("deadline passed", request.mayHaveRun());
                removeFromRun(request);
            });
            case ANSWER -> request.served(decision.value());
            case RAN -> request.failed("it ran, and its answer is held no more", true);
            case UNKNOWN -> request.failed("it may have run", true);
            case CONFLICT -> request.failed("this key is another request's", false);
            default -> request.reject((long) Math.ceil(retryAfterMs), false);
        }
        return request;
    }

    private void lead(KeyedRequest request) {
        loop.deadlines().cancel(request.deadlineTimer);
        CoreRequest coreRequest = new CoreRequest(request);
        coreRequests.put(request.key, coreRequest);
        IncomingRequest incoming = request.incoming;
        coreRequest.handle = core.accept(incoming.withTerminal(Math.max(1, request.deadline - loop.now()), coreRequest, incoming.binding()));
    }

    /** Handles the requests that waited for a run without a value: one becomes the leader, or all fail as possibly run. */
    private void settleWaiters(KeyTable.Next<KeyedRequest> next) {
        for (KeyedRequest one : next.answered()) { one.failed("it may have run", true); }
        if (next.nextLeader() == null) { return; }
        // After this turn, since the core first has to end the attempt of the finished run.
        loop.defer(() -> {
            if (!next.nextLeader().answered) { lead(next.nextLeader()); }
        });
    }

    private void leave(KeyedRequest request) {
        request.finish();
        removeFromRun(request);
    }

    /** Removes a request from its run. The run ends with the last request; a leader that had not started is replaced. */
    private void removeFromRun(KeyedRequest request) {
        boolean empty = table.leave(request.key, request);
        CoreRequest coreRequest = coreRequests.get(request.key);
        if (coreRequest == null) {
            if (table.hasNoLeader(request.key)) {
                settleWaiters(table.complete(loop.now(), request.key, KeyTable.RunOutcome.NEVER_RAN, null));
            }
            return;
        }
        if (!empty) { return; }
        boolean mayHaveRun = coreRequest.mayHaveRun();
        coreRequest.end();
        coreRequest.handle.terminalLeft();
        settleWaiters(table.complete(loop.now(), request.key, ending(mayHaveRun), null));
    }

    /** Restores a request of an earlier life from the journal; times in milliseconds. */
    public void restore(long key, long fingerprint, int classIndex, double sentAtMs, double endedAtMs, boolean ran) {
        if (classIndex >= 0 && classIndex < rules.length) {
            table.restore(loop.now(), key, fingerprint, rules[classIndex], sentAtMs, endedAtMs, ran);
        }
    }

    /** The maximum age, in milliseconds, of a finished request that is still of use to {@link #restore}. */
    public double longestLifetimeMs() {
        double longest = 0;
        for (KeyTable.ClassPolicy rule : rules) { longest = Math.max(longest, rule.lifetimeMs()); }
        return longest;
    }

    /** The state of a key in one line. */
    public String describe(long key) {
        String description = table.describe(loop.now(), key);
        return description == null ? "not known" : description;
    }

    /** The counters as one line of name=value pairs. */
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
