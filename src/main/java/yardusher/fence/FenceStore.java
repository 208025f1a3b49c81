package yardusher.fence;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import yardusher.core.EventLoop;
import yardusher.disk.Fields;
import yardusher.disk.DurableLog;
import yardusher.disk.Storage;
import yardusher.error.RegisterError;

/**
 * An agent's durable fencing state: sealed tokens, steps begun and ended, and the processes that it started. Event-loop
 * turns hand over records; a separate thread writes and syncs them in batches, and the result is reported in a turn.
 * Used in the event loop only, except for opening.
 */
public final class FenceStore implements Closeable {
    private static final String PREFIX = "fence";
    private static final long MAGIC = 0x594446454E430001L; // YDFENC and format version 1
    private static final long SEGMENT_BYTES = 1 << 20;
    private static final int OWNER = 1, SEAL = 2, BEGIN = 3, END = 4, DROP = 5, STARTED = 6;

    /**
     * A process that the agent started, with enough data to recognise it and not mistake another process with the same
     * id for it.
     */
    public record StartedProcess(long startCount, long pid, long startedMs) { }

    private final String installation;
    private final String member;
    private final Fence fence = new Fence();
    private final Map<String, StartedProcess> started = new LinkedHashMap<>();
    private final EventLoop loop;
    private final ExecutorService diskExecutor = Executors.newSingleThreadExecutor(work -> {
        Thread thread = new Thread(work, "fence");
        thread.setDaemon(true);
        return thread;
    });
    private DurableLog ledger;
    private final List<DurableLog.LogRecord> pendingRecords = new ArrayList<>();
    private final List<Consumer<IOException>> pendingCallbacks = new ArrayList<>();
    private boolean writing;
    private final Map<String, Long> durableTokens = new LinkedHashMap<>(); // sealed tokens on disk, by work
    private String lastWriteError;

    private FenceStore(String installation, String member, EventLoop loop) {
        this.installation = installation;
        this.member = member;
        this.loop = loop;
    }

    /**
     * Opens an agent's store, or creates it if the folder holds none.
     *
     * @throws RegisterError if the folder belongs to another member or installation
     * @throws RegisterError.Damaged if the store is damaged: commands might be accepted that were refused before
     */
    public static FenceStore open(Storage storage, String installation, String member, EventLoop loop) throws IOException {
        FenceStore memory = new FenceStore(installation, member, loop);
        DurableLog.LoggedState content = new DurableLog.LoggedState() {
            @Override
            public void apply(DurableLog.LogRecord line) throws IOException { memory.replayRecord(line); }

            @Override
            public List<DurableLog.LogRecord> snapshot() { return memory.currentRecords(); }
        };
        try {
            memory.ledger = DurableLog.exists(storage, PREFIX) ? DurableLog.open(storage, PREFIX, MAGIC, content, SEGMENT_BYTES)
                    : DurableLog.create(storage, PREFIX, MAGIC, content, SEGMENT_BYTES);
        } catch (IOException e) {
            throw new RegisterError.Damaged(null, String.valueOf(e.getMessage()), e);
        }
        return memory;
    }

    /** The fence. Changed through this store only. */
    public Fence fence() { return fence; }

    /** The process last started for an instance, or null. */
    public StartedProcess startedProcess(String instance) { return started.get(instance); }

    private void replayRecord(DurableLog.LogRecord line) throws IOException {
        Fields f = Fields.read(line.body());
        switch (line.kind()) {
            case OWNER -> {
                if (!f.text(1).equals(installation) || !f.text(2).equals(member)) {
                    throw new RegisterError.Foreign(null, f.text(2), f.text(1));
                }
            }
            case SEAL -> {
                fence.seal(f.text(1), f.number(2));
                durableTokens.merge(f.text(1), f.number(2), Math::max);
            }
            case BEGIN -> {
                fence.begin(f.text(1), f.number(2), f.text(3), f.text(4), f.text(5));
                fence.clearRunning(f.text(1), f.text(3));
            }
            case END -> fence.end(f.text(1), f.text(3), f.text(6));
            case DROP -> fence.drop(f.text(1), f.text(3));
            case STARTED -> started.put(f.text(1), new StartedProcess(f.number(2), f.number(3), f.number(4)));
            default -> throw new IOException("unknown record kind");
        }
    }

    /** The records that make up the current state. Called from the disk thread while no turn writes: see {@link #write}. */
    private List<DurableLog.LogRecord> currentRecords() {
        List<DurableLog.LogRecord> base = new ArrayList<>();
        base.add(new DurableLog.LogRecord(OWNER, new Fields.Writer().text(1, installation).text(2, member).toBytes()));
        for (String work : fence.works()) {
            base.add(line(SEAL, work, fence.sealedToken(work), null, null, null, null));
            fence.steps(work).forEach((id, step) -> {
                base.add(line(BEGIN, work, step.token(), id, step.action(), step.stateBefore(), null));
                if (step.outcome() != null) { base.add(line(END, work, 0, id, null, null, step.outcome())); }
            });
        }
        started.forEach((name, one) -> base.add(startedLine(name, one)));
        return base;
    }

    private static DurableLog.LogRecord line(int kind, String work, long token, String step, String act, String before, String outcome) {
        return new DurableLog.LogRecord(kind, new Fields.Writer().text(1, work).number(2, token).text(3, step).text(4, act).text(5, before)
                .text(6, outcome).toBytes());
    }

    private static DurableLog.LogRecord startedLine(String name, StartedProcess one) {
        return new DurableLog.LogRecord(STARTED, new Fields.Writer().text(1, name).number(2, one.startCount())
                .number(3, one.pid()).number(4, one.startedMs()).toBytes());
    }

    /**
     * Seals a token; false if a higher one is sealed. {@code then} is called with null once the seal is durable, or
     * with the write error.
     */
    public boolean seal(String work, long token, Consumer<IOException> then) {
        if (!fence.seal(work, token)) { return false; }
        if (durableTokens.getOrDefault(work, 0L) >= token) {
            then.accept(null);
        } else {
            write(line(SEAL, work, token, null, null, null, null), why -> {
                if (why == null) { durableTokens.merge(work, token, Math::max); }
                then.accept(why);
            });
        }
        return true;
    }

    public void begin(String work, long token, String step, String act, String before, Consumer<IOException> then) {
        fence.begin(work, token, step, act, before);
        write(line(BEGIN, work, token, step, act, before, null), then);
    }

    public void end(String work, String step, String outcome, Consumer<IOException> then) {
        fence.end(work, step, outcome);
        write(line(END, work, 0, step, null, null, outcome), then);
    }

    public void drop(String work, String step) {
        fence.drop(work, step);
        write(line(DROP, work, 0, step, null, null, null), why -> { });
    }

    /** Records that a process was started for an instance, and counts the start. */
    public void recordStart(String instance, long pid, long startedMs) {
        StartedProcess before = started.get(instance);
        StartedProcess now = new StartedProcess(before == null ? 1 : before.startCount() + 1, pid, startedMs);
        started.put(instance, now);
        write(startedLine(instance, now), why -> { });
    }

    /** Number of starts of an instance, over all lives of this agent. */
    public long startCount(String instance) { return started.containsKey(instance) ? started.get(instance).startCount() : 0; }

    private void write(DurableLog.LogRecord line, Consumer<IOException> then) {
        pendingRecords.add(line);
        pendingCallbacks.add(then);
        if (!writing) { flush(); }
    }

    private void flush() {
        if (pendingRecords.isEmpty()) { return; }
        writing = true;
        List<DurableLog.LogRecord> lines = new ArrayList<>(pendingRecords);
        List<Consumer<IOException>> callbacks = new ArrayList<>(pendingCallbacks);
        pendingRecords.clear();
        pendingCallbacks.clear();
        try {
            diskExecutor.execute(() -> {
                IOException why = null;
                try {
                    ledger.append(lines);
                    ledger.force();
                    if (ledger.isDueToRoll()) { loop.execute(this::rollSegment); }
                } catch (IOException e) {
                    why = e;
                }
                IOException failure = why;
                loop.execute(() -> {
                    reportWriteState(failure);
                    writing = false;
                    callbacks.forEach(callback -> callback.accept(failure));
                    if (!writing) { flush(); }
                });
            });
        } catch (RejectedExecutionException e) { /* closed: the process is ending */ }
    }

    /** Logs once that commands cannot be accepted, and once that they can be again. */
    private void reportWriteState(IOException why) {
        String now = why == null ? null : why.getMessage();
        if (now != null && !now.equals(lastWriteError)) { System.err.println("agent: " + member + " accepts no fleet commands: " + now); }
        if (now == null && lastWriteError != null) { System.err.println("agent: " + member + " accepts fleet commands again"); }
        lastWriteError = now;
    }

    /** Collects the records in a turn, so that nothing changes meanwhile; the disk thread writes them. */
    private void rollSegment() {
        List<DurableLog.LogRecord> base = currentRecords();
        diskExecutor.execute(() -> {
            try {
                ledger.roll(base);
            } catch (IOException e) { /* the segment keeps growing; retried at the next write */ }
        });
    }

    @Override
    public void close() throws IOException {
        diskExecutor.shutdown();
        try {
            diskExecutor.awaitTermination(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ledger.close();
    }
}
