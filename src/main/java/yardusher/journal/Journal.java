package yardusher.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import yardusher.Api;
import yardusher.core.Attempt;
import yardusher.core.Deadlines;
import yardusher.core.IdGenerator;
import yardusher.core.RequestLog;
import yardusher.core.Request;
import yardusher.core.EventLoop;
import yardusher.disk.Directory;
import yardusher.disk.Storage;
import yardusher.error.JournalError;
import yardusher.log.Events;

/**
 * The journal of sent orders: what is told of transactions that must not run twice is written ahead to segment files.
 * An attempt is parked until its intent is as durable as configured. Used in loop, none of which waits: entries gather
 * in a batch, which goes to the writing thread at the turn's end where an attempt waits for it, or a little later;
 * while one batch is written the next gathers, and all that wait in it share its write.
 */
public final class Journal implements RequestLog {
    /** Entries that gather at the most; further ones are lost, and counted. */
    static final int MAX_PENDING_ENTRIES = 20_000;
    private static final double INITIAL_RETRY_MS = 100;      // after a write that failed; doubles
    private static final double MAX_RETRY_MS = 2000;
    private static final double RECHECK_MS = 1000;      // while there is no room, it is looked for

    /** Whether intents can be recorded now. */
    enum Health { GOOD, FULL, STALLED, FAILING }

    /** Figures for operators. */
    public static final class Counts {
        public long entries;
        public long batches;
        public long refused;
        public long unrecorded;
        public long untried;
        public long lost;
        public long failures;
        public long stalls;
    }

    private record Waiter(Attempt attempt, Consumer<Boolean> then) { }

    private static final class Batch {
        final List<Entry> entries = new ArrayList<>();
        final List<Waiter> waiters = new ArrayList<>();
    }

    private final EventLoop loop;
    private final Api.Settings site;
    private final JournalSettings settings;
    private final Segments segments;
    private final JournalWriter writer;
    private final Events events;
    private final Counts counts = new Counts();
    private final List<String> recoveryNotes;
    private Batch pending = new Batch();
    private Batch spare = new Batch();
    private Batch inFlight;
    private boolean submitScheduled;                       // at this turn's end
    // Two deadlines that run on and are seldom set: one of each batch's own would wake the deadlines' thread each time.
    private Deadlines.Entry flushDeadline;
    private Deadlines.Entry stallDeadline;
    private double inFlightSinceMs;
    private Deadlines.Entry recheckDeadline;
    private double retryMs = INITIAL_RETRY_MS;
    private Health health = Health.GOOD;
    private long gapOrders;
    private long gapLost;
    private boolean recordsFingerprints;

    /**
     * Opens the folder, finds what the last life left open and begins a new life. Reads and writes the disk, so it is
     * called before the first turn. {@code events} gets whatever an operator should know.
     *
     * @throws JournalError in one plain line where the folder cannot be used or another process uses it
     */
    public static Journal open(JournalSettings settings, String instance, Api.Settings site, List<String> classes,
            List<String> plans, EventLoop loop, Events events) throws IOException {
        Directory folder;
        try {
            folder = Directory.openForWriting(settings.folder().resolve(instance), instance);
        } catch (Directory.LockedException e) {
            throw new JournalError.Held("journal.folder " + settings.folder().resolve(instance), e.getMessage(), e);
        } catch (IOException e) {
            throw new JournalError.Folder("journal.folder " + settings.folder().resolve(instance), String.valueOf(e.getMessage()), e);
        }
        return open(folder, settings, instance, site, classes, plans, loop, events);
    }

    static Journal open(Storage storage, JournalSettings settings, String instance, Api.Settings site,
            List<String> classes, List<String> plans, EventLoop loop, Events events) throws IOException {
        try {
            Recovery.Result found = Recovery.run(storage, loop.now());
            Indexer indexer = new Indexer(storage, instance);
            Segments segments = new Segments(storage, settings, found,
                    new Entry.Opened(0, new IdGenerator().next(), instance, classes, plans), loop::now, indexer);
            for (Retention.SealedSegment one : found.sealed()) { indexer.build(one.number()); }
            return new Journal(loop, site, settings, segments, found, events, instance);
        } catch (IOException e) {
            storage.close();
            throw new JournalError.Folder("journal.folder " + settings.folder().resolve(instance), "cannot be written: " + e.getMessage(), e);
        }
    }

    private Journal(EventLoop loop, Api.Settings site, JournalSettings settings, Segments segments, Recovery.Result found,
            Events events, String instance) {
        this.loop = loop;
        this.site = site;
        this.settings = settings;
        this.segments = segments;
        this.events = events;
        this.recoveryNotes = found.notes();
        writer = new JournalWriter(segments, settings, instance);
        for (String note : found.notes()) { events.warn("journal recovery", "note", note); }
        long unknown = found.open().requests().stream()
                .filter(order -> order.attempts.stream().anyMatch(one -> one.outcome == null)).count();
        events.info("journal opened", "segments", found.sealed().size(), "read", found.segmentsRead(), "bytes_read",
                found.bytesRead(), "open", found.open().size(), "unknown", unknown, "durability",
                settings.durability().name().toLowerCase(java.util.Locale.ROOT));
    }

    @Override
    public Admission admit(Request t) {
        if (site.classes().get(t.incoming.classIndex()).effect() == Api.Effect.IDEMPOTENT) { return Admission.UNRECORDED; }
        if (!canRecord()) {
            if (settings.refusesWhenFull()) {
                counts.refused++;
                return Admission.REFUSED;
            }
            countUnrecorded();
            return Admission.UNRECORDED;
        }
        return Admission.RECORDED;                   // told with its first intent, which comes in this turn or never
    }

    /** Whether an intent can be recorded as durable as settings say, as far as is known now. */
    private boolean canRecord() {
        return health == Health.GOOD && pending.entries.size() < MAX_PENDING_ENTRIES / 2
                && writer.unsyncedMs() < settings.windowMs() + settings.stallMs();
    }

    @Override
    public void recordIntent(Attempt attempt, Consumer<Boolean> then) {
        Request t = attempt.request;
        if (!canRecord()) {
            unrecordedIntent(then);
            return;
        }
        attempt.intentLogged = enqueue(new Entry.Intended(nowUs(), t.number, attempt.number, attempt.backend, facts(t), takenUs(t)));
        t.logged |= attempt.intentLogged;
        pending.waiters.add(new Waiter(attempt, then));
        if (inFlight == null && !submitScheduled) {
            submitScheduled = true;
            loop.defer(this::submitPending);        // all that this turn gathers shares the write
        }
    }

    private void unrecordedIntent(Consumer<Boolean> then) {
        if (settings.refusesWhenFull()) { counts.refused++; } else { countUnrecorded(); }
        then.accept(!settings.refusesWhenFull());
    }

    private void countUnrecorded() {
        counts.unrecorded++;
        gapOrders++;
    }

    @Override
    public void attemptWritten(Attempt attempt) {
        if (attempt.intentLogged) { enqueue(new Entry.Written(nowUs(), attempt.request.number, attempt.number)); }
    }

    @Override
    public void attemptEnded(Attempt attempt, Api.Outcome outcome) {
        if (!attempt.intentLogged) { return; }              // sent on unrecorded: the gap tells of it
        enqueue(new Entry.Ended(nowUs(), attempt.request.number, attempt.number, outcome, attempt.mayHaveBeenSent()));
    }

    @Override
    public void answered(Request t, Answer answer) {
        if (!t.logged) {
            // Guards the folder's room against a flood beyond a quota: what was never tried is counted, not told.
            counts.untried++;
            if (!settings.recordsUnattempted()) { return; }
            enqueue(new Entry.Accepted(takenUs(t), t.number, facts(t)));
        }
        enqueue(new Entry.Answered(nowUs(), t.number, answer));
    }

    @Override
    public double retryAfterMs() { return settings.retryAfterMs(); }

    private static long takenUs(Request t) { return (long) (t.arrivedAtMs * 1e3); }

    private long nowUs() { return (long) (loop.now() * 1e3); }

    private Entry.RequestFacts facts(Request t) {
        String key = t.incoming.command().key();
        return new Entry.RequestFacts(t.incoming.command().id(), key != null, key == null ? 0 : Long.parseUnsignedLong(key, 16),
                t.incoming.customer(), t.incoming.classIndex(), t.incoming.plan(), t.incoming.units(), recordsFingerprints && key != null ? t.incoming.command().fingerprint() : 0);
    }

    private boolean enqueue(Entry entry) {
        // Guards the heap while the disk hangs: outcomes past this bound are lost, and the loss is recorded.
        if (pending.entries.size() >= MAX_PENDING_ENTRIES) {
            counts.lost++;
            gapLost++;
            return false;
        }
        pending.entries.add(entry);
        counts.entries++;
        if (inFlight == null) { scheduleFlush(); }
        return true;
    }

    private void submitPending() {
        submitScheduled = false;
        if (inFlight != null || pending.entries.isEmpty()) { return; }
        inFlight = pending;
        pending = spare;
        spare = null;
        inFlightSinceMs = loop.now();
        if (stallDeadline == null) { stallDeadline = loop.deadlines().schedule(inFlightSinceMs + settings.stallMs(), this::checkForStall); }
        submit(inFlight);
    }

    private void submit(Batch batch) {
        counts.batches++;
        writer.submit(() -> {
            Segments.Result result = segments.append(batch.entries);
            if (result.written()) { writer.onAppend(); }
            loop.execute(() -> completed(batch, result));
        });
    }

    private void completed(Batch batch, Segments.Result result) {
        if (!result.written()) {
            counts.failures++;
            setHealth(Health.FAILING, result.error().getMessage());
            releaseWaiters(batch);
            releaseWaiters(pending);
            loop.deadlines().schedule(loop.now() + retryMs, () -> submit(batch));
            retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
            return;                                  // it goes on flying: nothing may overtake it
        }
        retryMs = INITIAL_RETRY_MS;
        setHealth(result.full() ? Health.FULL : Health.GOOD, result.full() ? "no room" : "");
        List<Waiter> waiters = new ArrayList<>(batch.waiters);
        batch.entries.clear();
        batch.waiters.clear();
        spare = batch;
        inFlight = null;
        for (Waiter waiter : waiters) { waiter.then.accept(true); }
        if (gapOrders + gapLost > 0) {
            enqueue(new Entry.Gap(nowUs(), gapOrders, gapLost));
            gapOrders = 0;
            gapLost = 0;
        }
        if (!pending.waiters.isEmpty()) {
            submitPending();
        } else if (!pending.entries.isEmpty()) {
            scheduleFlush();
        }
    }

    private void scheduleFlush() {
        if (flushDeadline != null) { return; }
        flushDeadline = loop.deadlines().schedule(loop.now() + settings.flushMs(), () -> {
            flushDeadline = null;
            submitPending();
        });
    }

    /** Looks whether a batch has been with the writing thread for too long. */
    private void checkForStall() {
        stallDeadline = null;
        if (inFlight == null || health == Health.STALLED) { return; }
        double due = inFlightSinceMs + settings.stallMs();
        if (due <= loop.now() && health != Health.FAILING) {
            onStall();
        } else {
            stallDeadline = loop.deadlines().schedule(Math.max(due, loop.now() + settings.flushMs()), this::checkForStall);
        }
    }

    /** The disk hangs: what waits for it has waited long enough. */
    private void onStall() {
        counts.stalls++;
        setHealth(Health.STALLED, "a write has taken " + (long) settings.stallMs() + " ms");
        if (inFlight != null) { releaseWaiters(inFlight); }
        releaseWaiters(pending);
    }

    /** Intents that are not recorded in time: given up at once, or sent on and the gap counted, as settings say. */
    private void releaseWaiters(Batch batch) {
        List<Waiter> waiters = new ArrayList<>(batch.waiters);
        batch.waiters.clear();
        for (Waiter waiter : waiters) {
            if (!waiter.attempt.isOver()) { unrecordedIntent(waiter.then); }
        }
    }

    private void setHealth(Health next, String why) {
        if (next == health) { return; }
        health = next;
        Object[] pairs = {"health", next.name().toLowerCase(java.util.Locale.ROOT), "why", why, "then",
            settings.refusesWhenFull() ? "refuse" : "unjournaled", "refused", counts.refused, "unrecorded", counts.unrecorded, "lost",
            counts.lost};
        if (next == Health.GOOD) { events.info("journal good again", pairs); } else { events.warn("journal cannot record orders", pairs); }
        if (next == Health.FULL && recheckDeadline == null) { scheduleRecheck(); }
    }

    private void scheduleRecheck() {
        recheckDeadline = loop.deadlines().schedule(loop.now() + RECHECK_MS, () -> {
            recheckDeadline = null;
            if (health != Health.FULL) { return; }
            writer.submit(() -> {
                boolean full = segments.recheck();
                loop.execute(() -> {
                    if (health != Health.FULL) { return; }
                    if (full) { scheduleRecheck(); } else { setHealth(Health.GOOD, ""); }
                });
            });
        });
    }

    /** From now on intents carry the fingerprints that keys need after a restart. Before the first turn with orders. */
    public void recordFingerprints() { recordsFingerprints = true; }

    /** A keyed order of an earlier life. Times in milliseconds; {@code ran}: it was answered as served. */
    public interface EarlierRequestVisitor {
        void visit(long key, long print, String className, double sentAtMs, double endedAtMs, boolean ran);
    }

    /**
     * Tells of the keyed orders of earlier lives that came in since a time and may have run, in the order in which they
     * came. Reads the disk: before the first turn.
     */
    public static void forEachEarlierRequest(JournalSettings settings, String instance, double sinceMs, EarlierRequestVisitor earlier) throws IOException {
        Query query = new Query(java.util.Map.of(), java.util.Set.of(), false, false, (long) (sinceMs * 1e3), Long.MAX_VALUE);
        try (Scan scan = new Scan(Directory.openForReading(settings.folder().resolve(instance)), query, bytes -> { })) {
            for (JournaledRequest order; (order = scan.next()) != null;) {
                boolean may = order.state() == JournaledRequest.State.INTENDED || order.state() == JournaledRequest.State.SENT || order.state() == JournaledRequest.State.ANSWERED;
                if (!may || order.facts == null || !order.facts.keyed()) { continue; }
                long sent = Long.MAX_VALUE;
                long last = Math.max(order.answeredUs, order.closedUs);
                boolean ran = false;
                for (JournaledRequest.JournaledAttempt one : order.attempts) {
                    if (one.intendedUs > 0) { sent = Math.min(sent, one.intendedUs); }
                    last = Math.max(last, Math.max(one.intendedUs, one.endedUs));
                    ran |= one.outcome == Api.Outcome.SERVED;
                }
                earlier.visit(order.facts.key(), order.facts.fingerprint(), order.className, (sent == Long.MAX_VALUE ? last : sent) / 1e3, last / 1e3, ran);
            }
        }
    }

    Health health() { return health; }

    /** Figures; read in loop. */
    public Counts counts() { return counts; }

    /** What recovery had to say of the files. */
    public List<String> recoveryNotes() { return recoveryNotes; }

    /** One line of names and values, for INFO. */
    public String line() {
        return "journal=" + health.name().toLowerCase(java.util.Locale.ROOT) + " journal_entries=" + counts.entries + " journal_batches="
                + counts.batches + " journal_refused=" + counts.refused + " journal_unrecorded=" + counts.unrecorded
                + " journal_untried=" + counts.untried + " journal_lost=" + (counts.lost + segments.unwritable()) + " journal_failures=" + counts.failures + " journal_stalls=" + counts.stalls;
    }

    /** Writes and syncs all that was told, and ends; false where the disk did not take it in time. Not in a turn. */
    public boolean close(long withinMs) {
        loop.execute(this::submitPending);
        boolean ended = writer.shutdown(withinMs);
        // Entries of the last turns: the writing thread has ended, so they are written here.
        loop.execute(() -> {
            if (ended && inFlight == null && !pending.entries.isEmpty()) { segments.append(pending.entries); }
        });
        if (!ended) { return false; }
        try {
            segments.close();
            return true;
        } catch (IOException e) {
            events.warn("journal not synced at its end", "why", e.getMessage());
            return false;
        }
    }
}
