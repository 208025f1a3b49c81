package yardusher.agent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.fence.FenceStore;
import yardusher.net.Connection;
import yardusher.net.Sockets;
import yardusher.resp.Encoder;
import yardusher.resp.MalformedRespException;
import yardusher.resp.Value;

/** One managed instance: started, watched until it answers PING, started again with backoff when it crashes. */
final class Instance {
    private static final double PING_MS = 100;
    private static final double BACKOFF_MS = 200;
    private static final double MAX_BACKOFF_MS = 10_000;
    private static final double STABLE_AFTER_MS = 10_000;  // who lived so long starts again without delay

    enum State { STOPPED, STARTING, READY, STOPPING, BACKOFF }

    final AgentConfig.Entry entry;
    private final AgentConfig config;
    private final Sockets sockets;
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Runnable changed;
    private State state = State.STOPPED;
    private ProcessHandle process;
    private final FenceStore fenceStore;                     // null where this agent keeps none
    private double startedAt;
    private double backoffMs = BACKOFF_MS;
    private int restarts;
    private long starts;
    private boolean startAgain;
    private boolean reloadWhenReady;                         // as soon as it is ready
    private Deadlines.Entry pending;

    Instance(AgentConfig.Entry entry, AgentConfig config, Sockets sockets, FenceStore memory, Runnable changed) {
        this.fenceStore = memory;
        this.entry = entry;
        this.config = config;
        this.sockets = sockets;
        this.loop = sockets.loop();
        this.changed = changed;
        this.address = Sockets.parseAddress(entry.address());
    }

    State state() { return state; }

    String status() {
        return entry.name() + " " + state.name().toLowerCase(Locale.ROOT) + " address=" + entry.address() + " pid="
                + (process == null ? "-" : process.pid()) + " restarts=" + restarts + " up_s="
                + (process == null ? 0 : (long) ((loop.now() - startedAt) / 1000));
    }

    void start() {
        if (state == State.STOPPING) {
            startAgain = true;
            return;
        }
        if (process != null) { return; }
        loop.deadlines().cancel(pending);
        List<String> command = new ArrayList<>(SighupStatus.withDefaultSighup(config.command())); // an agent under nohup hands it down
        command.addAll(List.of("serve", entry.config(), "--limits", entry.limits(), "--settings", entry.settings()));
        startedAt = loop.now();
        reloadWhenReady = false;
        Process begun;
        try {
            begun = new ProcessBuilder(command).redirectInput(ProcessBuilder.Redirect.from(new java.io.File("/dev/null")))
                    .redirectOutput(ProcessBuilder.Redirect.INHERIT).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        } catch (IOException e) {
            System.err.println("agent: " + entry.name() + " cannot be started: " + e.getMessage());
            backOff();
            return;
        }
        ProcessHandle handle = begun.toHandle();
        process = handle;
        starts++;
        if (fenceStore != null) {
            fenceStore.recordStart(entry.name(), handle.pid(), startMs(handle));
            note("started pid=" + handle.pid());
        }
        setState(State.STARTING);
        begun.onExit().thenRun(() -> loop.execute(() -> exited(handle, " with " + begun.exitValue())));
        ping(handle);
    }

    /** Unix time of a process's start; with its number it is known again and not mistaken. 0 where the system does not say. */
    private static long startMs(ProcessHandle handle) { return handle.info().startInstant().map(java.time.Instant::toEpochMilli).orElse(0L); }

    /**
     * Takes over the process that an earlier life of this agent started, where it still runs; else starts one. A process
     * that merely has the number of the old one is left alone.
     */
    void adoptOrStart() {
        FenceStore.StartedProcess known = fenceStore == null ? null : fenceStore.startedProcess(entry.name());
        ProcessHandle found = known == null || known.startedMs() == 0 ? null
                : ProcessHandle.of(known.pid()).filter(one -> one.isAlive() && startMs(one) == known.startedMs()).orElse(null);
        if (found == null) {
            start();
            return;
        }
        System.err.println("agent: " + entry.name() + " runs already, pid " + found.pid() + ": adopted");
        process = found;
        startedAt = loop.now();
        setState(State.STARTING);
        found.onExit().thenRun(() -> loop.execute(() -> exited(found, "")));
        ping(found);
    }

    /** How often it was started, over all lives of this agent where it remembers them. */
    long starts() { return fenceStore == null ? starts : fenceStore.startCount(entry.name()); }

    /** Asks it to end with SIGTERM, so that it answers what it has taken; kills it when it does not. */
    void stop(boolean again) {
        startAgain = again;
        loop.deadlines().cancel(pending);
        if (process == null) {
            setState(State.STOPPED);
            if (again) { start(); }
            return;
        }
        if (state == State.STOPPING) { return; }
        setState(State.STOPPING);
        ProcessHandle ending = process;
        ending.destroy();
        pending = loop.deadlines().schedule(loop.now() + config.stopMs(), ending::destroyForcibly);
    }

    /**
     * Asks it to read its configuration anew. Guards one that has only just begun: until it answers, the signal
     * would still end it.
     */
    void reload() {
        reloadWhenReady = state == State.STARTING;
        if (state != State.READY) { return; }        // who starts later reads the new file anyway
        try {
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).inheritIO().start();
        } catch (IOException e) {
            System.err.println("agent: " + entry.name() + " cannot be told to reload: " + e.getMessage());
        }
    }

    /** For the history of effects, beside what the fences say. */
    private void note(String what) { System.err.println("fence " + System.currentTimeMillis() + " instance 0 " + entry.name() + " " + what); }

    private void exited(ProcessHandle ended, String how) {
        if (ended != process) { return; }
        process = null;
        loop.deadlines().cancel(pending);
        if (state == State.STOPPING) {
            setState(State.STOPPED);
            if (startAgain) {
                startAgain = false;
                restarts++;
                start();
            }
            return;
        }
        System.err.println("agent: " + entry.name() + " ended by itself" + how);
        if (loop.now() - startedAt > STABLE_AFTER_MS) { backoffMs = BACKOFF_MS; }
        backOff();
    }

    /** Guards against a crash loop that takes the machine: each crash soon after a start doubles the wait. */
    private void backOff() {
        setState(State.BACKOFF);
        pending = loop.deadlines().schedule(loop.now() + backoffMs, () -> {
            restarts++;
            start();
        });
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }

    private void setState(State next) {
        state = next;
        if (fenceStore != null && next == State.READY) { note("ready pid=" + process.pid()); }
        if (next == State.READY && reloadWhenReady) { reload(); }
        changed.run();
    }

    private void ping(ProcessHandle of) {
        if (of != process || state != State.STARTING) { return; }
        Runnable again = () -> loop.deadlines().schedule(loop.now() + PING_MS, () -> ping(of));
        sockets.connect(address, 1000, channel -> {
            Connection link = new Connection(channel, loop, new Connection.Owner() {
                @Override
                public boolean onReadable(Connection from) {
                    try {
                        Value answer = from.decoder().nextValue();
                        if (answer == null) { return true; }
                        from.close();
                        boolean pong = answer instanceof Value.SimpleString simple && simple.text().equals("PONG");
                        if (pong && of == process && state == State.STARTING) { setState(State.READY); } else { again.run(); }
                    } catch (MalformedRespException e) {
                        from.close();
                        again.run();
                    }
                    return false;
                }

                @Override
                public void onClosed(Connection from) { again.run(); }
            });
            link.write(new Encoder(16).array(1).bulk("PING").toBytes());
            link.readMore();
        }, again);
    }

    /** For the agent's own end: true once nothing of it runs any more. */
    boolean hasExited() { return process == null; }
}
