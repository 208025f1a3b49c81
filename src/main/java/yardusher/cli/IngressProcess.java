package yardusher.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.DoubleSupplier;
import sun.misc.Signal;
import yardusher.Api;
import yardusher.admin.AdminServer;
import yardusher.admin.StatsdReport;
import yardusher.admin.AdminHandler;
import yardusher.agent.SighupStatus;
import yardusher.clients.PlatformFrontend;
import yardusher.core.Counters;
import yardusher.core.Ingress;
import yardusher.core.RequestAcceptor;
import yardusher.core.EventLoop;
import yardusher.error.CommandError;
import yardusher.error.ConfigError;
import yardusher.error.YardusherError;
import yardusher.fence.InstanceFence;
import yardusher.handover.Handover;
import yardusher.limits.LimitsConfig;
import yardusher.limits.LimitsFrontend;
import yardusher.discovery.DiscoveredBackends;
import yardusher.discovery.DiscoveryWatch;
import yardusher.log.Events;
import yardusher.log.Logs;
import yardusher.net.LineReader;
import yardusher.net.Connection;
import yardusher.net.MemoryBudgets;
import yardusher.net.Sockets;
import yardusher.peers.PeerSocket;
import yardusher.servers.BackendPool;
import yardusher.settings.Settings;
import yardusher.subsystem.SubsystemContext;

/** A complete ingress process: builds and connects all components and runs them from the start to a graceful shutdown. */
public final class IngressProcess {
    private static final double DRAIN_ACCEPT_MS = 500; // after SIGTERM new connections keep arriving for 0.2 to 0.4 s
    private static final double HELD_UP_MS = 10;     // a task that is this late shows that the process did not run
    private static final double MAX_CATCH_UP_MS = 50; // to read what arrived meanwhile
    private static final double DRAIN_READ_MS = 100; // then requests already in flight on open connections are still read
    private static final double MIN_DRAIN_MS = 3000; // the platform kills 0.7 s after the longest deadline or this, whichever is later
    private static final double FINAL_ANSWER_MS = 50; // after the last deadline, to deliver its answer
    private static final double VALUES_CHECK_MS = 20;
    private static final long STARVED_LOOP_EXTRA_MS = 10_000; // extra wall-clock time if the event loop is starved
    private static final long START_TIMEOUT_MS = 6000; // a new version must accept clients within this time
    // Two dials of the watch (0.9 s), 0.35 s if this process itself was stalled, and 0.2 s to read a list: the first one, of 200
    // backends, takes 30 to 70 ms of a core, and only 0.3 of a core may be available.
    private static final double FIRST_LIST_MS = 1500;
    private static final int OWN_DESCRIPTORS = 64;   // used by the JVM, the listeners, the watch and the admin address
    // 12 of a JVM with an admin address and peers; 3 of the poll barrier, 3 watches, 16 admin callers, the next version, a file
    // being read, and one connection at each listener. With few descriptors, clients and backends share what these leave.
    private static final int MIN_OWN_DESCRIPTORS = 40;
    private static final int MIN_DESCRIPTOR_BUDGET = 8;

    private static final int MAX_OUT_OF_MEMORY_REPORTS = 5;
    private static final int EXIT_OUT_OF_MEMORY = 3; // as a JVM that is told to exit when it has no memory left

    private final EventLoop loop;
    private final MemoryBudgets budgets = MemoryBudgets.ofHeap(Runtime.getRuntime().maxMemory());
    private final Sockets sockets;
    private final Counters counters = new Counters();
    private final BackendPool pool;
    private final Ingress ingress;
    private final PlatformFrontend front;
    private final LimitsFrontend limitsFront;
    private final DiscoveryWatch watch;
    private final DiscoveredBackends table;
    private final AdminServer admin;                 // null without an admin address
    private final Subsystems subsystems;
    private final InstanceFence fence;               // null if calls of fleet operations are not accepted
    private final PeerSocket peers;                  // null if this site has no peers
    private final Handover handover;
    private final Events events;
    private final InetSocketAddress adminAt;
    private final int descriptorBudget;              // descriptors for clients and regions
    private final Set<String> banned = new LinkedHashSet<>(); // ids of regions banned by an operator
    private final CountDownLatch ready = new CountDownLatch(1);
    private volatile Exception startFailure;         // why no clients can be accepted
    private final CountDownLatch drained = new CountDownLatch(1);
    private final double longestDeadlineMs;
    private final DrainPlan drainPlan = new DrainPlan();
    private double drainBeganAtMs;                   // when the process was told to end
    private IngressConfig config;                    // as last read
    private volatile boolean passesValuesOn;         // at the end of the process, by its last check
    private boolean serving;                         // clients are accepted
    private boolean ending;                          // no clients will be accepted any more
    private int outOfMemoryReports;
    private double firstListMs;                      // maximum wait for the first update from discovery

    /** Creates an ingress; {@code limits} is null if the limits front is off. */
    public IngressProcess(IngressConfig config, LimitsConfig limits) throws IOException { this(config, limits, Settings.OFF, clock()); }

    /** The same with a clock that gives milliseconds of Unix time and never goes back. */
    public IngressProcess(IngressConfig config, LimitsConfig limits, Settings own, DoubleSupplier clock) throws IOException {
        this(config, config.admin(), null, limits, own, clock, clock.getAsDouble());
    }

    /**
     * The same with an admin address other than the configuration's, null for none, and the folder in which this process and
     * its predecessor and successor find each other, null for none. {@code bornMs}: when this process started.
     */
    public IngressProcess(IngressConfig config, InetSocketAddress adminAt, Path notes, LimitsConfig limits, Settings own,
            DoubleSupplier clock, double bornMs) throws IOException {
        this.config = config;
        loop = new EventLoop(clock, this::handleFault);
        sockets = new Sockets(loop);
        int budget = descriptorBudget(config.sockets());
        Api.Settings settings = config.settings();
        longestDeadlineMs = settings.classes().stream().mapToDouble(Api.RequestClass::deadlineMs).max().orElse(1000);
        pool = new BackendPool(sockets, counters, settings.reportedMetrics(), config.dialMs(), config.idleMs(),
                budget * 2 / 5, budgets.replies());
        this.descriptorBudget = budget;
        peers = config.peerListen() == null || !settings.limits().mayMessagePeers() ? null
                : new PeerSocket(config.peerListen(), config.peers(), loop);
        this.adminAt = adminAt;
        handover = new Handover(sockets, new HandoverActions(), settings.self(), config.name(), notes, Events.plain(config.name()));
        events = Logs.of(own.log(), config.name());
        fence = own.fenced() ? new InstanceFence() : null;
        subsystems = Subsystems.of(own, config, loop);
        Object[] made = new Object[6];
        Exception[] problem = new Exception[1];
        loop.execute(() -> {
            try {
                Ingress core = new Ingress(settings, config.seed(), bornMs, loop, pool, handover, counters, subsystems.wrapRequestLog());
                pool.setIngress(core);
                core.setTrace(new RequestEvents(events, loop::now));
                DiscoveredBackends table = new DiscoveredBackends(config.zones(), pool);
                core.deliver(table.apply(config.known(), Api.ListKind.CACHED));
                made[0] = core;
                made[5] = table;
                made[1] = new DiscoveryWatch(sockets, config.discovery(), table, core, config.seed());
                RequestAcceptor intake = subsystems.wrapAcceptor(site(core, table, null), core);
                PlatformFrontend clients = new PlatformFrontend(sockets, config.listen(), core, intake, config.classes(), config.plans(), 1, budgets,
                        events);
                made[2] = clients;
                made[3] = limits == null ? null
                        : new LimitsFrontend(sockets, core, limits, config.classes(), config.plans(), budgets);
                made[4] = adminAt == null ? null : new AdminServer(sockets, adminAt, new AdminCalls());
                subsystems.attach(site(core, table, clients));
            } catch (IOException | RuntimeException e) {
                problem[0] = e;
            }
        });
        if (problem[0] instanceof IOException e) { throw e; }
        if (problem[0] instanceof RuntimeException e) { throw e; }
        ingress = (Ingress) made[0];
        watch = (DiscoveryWatch) made[1];
        front = (PlatformFrontend) made[2];
        limitsFront = (LimitsFrontend) made[3];
        setConnectionLimits(false);
        counters.extraCounters = () -> " " + budgets.countersLine() + " " + front.endingsLine() + subsystems.countersLine();
        table = (DiscoveredBackends) made[5];
        admin = (AdminServer) made[4];
    }

    private SubsystemContext site(Ingress core, DiscoveredBackends table, PlatformFrontend clients) {
        return new SubsystemContext(config.name(), config.seed(), loop, sockets, config.settings(), config.classes(), config.plans(), config.zones(), core,
                pool, table, clients, events, subsystems.mesh(), subsystems.view());
    }

    /** Implements the calls at the admin address. */
    private final class AdminCalls implements AdminHandler {
        @Override
        public boolean acceptsClients() { return serving && !front.server().isDraining(); }

        @Override
        public String counterLines() {
            return StatsdReport.lines(counters, config.classes(), ingress.openCount(), table.size(), ingress.avoidedBackends());
        }

        @Override
        public void ban(String region, boolean out, Runnable then) {
            if (!table.wasEverListed(region)) { throw new CommandError.NotFound("no backend " + region + " was ever listed"); }
            banLocally(region, out);
            handover.forwardBan(region, out, then);
        }

        @Override
        public String report(String call) { return subsystems.report(call); }

        @Override
        public boolean isFenced() { return fence != null; }

        @Override
        public InstanceFence fence() { return fence; }

        @Override
        public void drain(boolean away) {
            drainLocally(away);
            handover.forwardDrain(away);
        }

        @Override
        public Connection.Owner acceptSuccessor(String line, LineReader lines, Connection link) {
            return handover.acceptSuccessor(line, lines, link);
        }
    }

    /** Implements what the handover to another version asks of this process. */
    private final class HandoverActions implements Handover.ProcessActions {
        @Override
        public void ban(String region, boolean out) { banLocally(region, out); }

        @Override
        public Collection<String> banned() { return banned; }

        @Override
        public void drain(boolean away) { drainLocally(away); }

        @Override
        public boolean isDraining() { return front.server().isDraining(); }

        @Override
        public void deliver(int from, String body) { ingress.deliver(new Api.PeerMessage(from, body)); }

        @Override
        public void siblingChanged(boolean other, boolean owns) {
            ingress.deliver(new Api.SiblingProcess(other, owns));
            setConnectionLimits(other);
            performStep(drainPlan.successorChanged(handover.hasSuccessor()));
        }

        @Override
        public void openPeerPort() throws IOException {
            if (peers == null) { return; }
            peers.open((from, body) -> {
                counters.peerMessagesReceived++;
                handover.onDatagram(from, body);
            });
        }

        @Override
        public void closePeerPort() {
            if (peers != null) { peers.close(); }
        }

        @Override
        public void send(int to, String body) {
            if (peers != null) { peers.send(to, body); }
        }

        @Override
        public void acceptClients(Runnable then) {
            // The first requests must see the backends that the agent reports, not only the configured list.
            watch.runAfterFirstUpdate(firstListMs, () -> {
                if (ending) { return; }
                try {
                    openFronts();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                ready.countDown();
                then.run();
            });
        }
    }

    private void openFronts() throws IOException {
        front.server().bind();
        if (limitsFront != null) {
            limitsFront.server().bind();
            limitsFront.server().startAccepting();
        }
        front.server().startAccepting();             // last, since an answered PING means that all else is ready
        serving = true;
    }

    private void banLocally(String region, boolean out) {
        long id = DiscoveredBackends.numericId(region);
        if (out) { banned.add(region); } else { banned.remove(region); }
        ingress.deliver(new Api.Ban(id, out));       // the module first: it retries what the pool aborts
        pool.setBanned(id, out);
    }

    private void drainLocally(boolean away) {
        front.server().setDraining(away);
        if (limitsFront != null) { limitsFront.server().setDraining(away); }
    }

    /** The number of descriptors, out of {@code sockets}, for clients and backends. */
    static int descriptorBudget(int sockets) {
        return Math.max(Math.max(MIN_DESCRIPTOR_BUDGET, Math.min(64, sockets - MIN_OWN_DESCRIPTORS)), sockets - OWN_DESCRIPTORS);
    }

    /** Sets the connection limits: all descriptors, or half of them while another process of this ingress runs. */
    private void setConnectionLimits(boolean other) {
        int mine = other ? descriptorBudget / 2 : descriptorBudget;
        front.server().setMaxConnections(mine * 3 / 5 - (limitsFront == null ? 0 : LimitsFrontend.MAX_TERMINALS));
        pool.setMaxConnections(mine * 2 / 5);
    }

    public Ingress ingress() { return ingress; }

    /** The admin address's server, null without one. */
    public AdminServer admin() { return admin; }

    public EventLoop loop() { return loop; }

    public PlatformFrontend front() { return front; }

    public LimitsFrontend limitsFront() { return limitsFront; }

    /** A monotonic clock in milliseconds of Unix time, so that the time slots of all ingresses coincide. */
    private static DoubleSupplier clock() {
        Instant start = Instant.now();
        double startMs = start.getEpochSecond() * 1e3 + start.getNano() / 1e6;
        long startNanos = System.nanoTime();
        return () -> startMs + (System.nanoTime() - startNanos) / 1e6;
    }

    private void handleFault(Throwable e) {
        if ((e instanceof UncheckedIOException || e instanceof YardusherError) && ready.getCount() > 0) {
            // An address that cannot be bound, or a component that cannot start, fails the start.
            startFailure = e instanceof UncheckedIOException cause ? cause.getCause() : (YardusherError) e;
            ready.countDown();
            return;
        }
        counters.faults++;
        if (e instanceof OutOfMemoryError) { reportOutOfMemory(); }
        if (counters.faults <= 20) { e.printStackTrace(); }
    }

    private void reportOutOfMemory() {
        if (outOfMemoryReports++ < MAX_OUT_OF_MEMORY_REPORTS) { System.err.println(memoryLine()); }
    }

    /** What is held for peers, and what the heap holds in all. */
    private String memoryLine() {
        Runtime runtime = Runtime.getRuntime();
        long usedKb = (runtime.totalMemory() - runtime.freeMemory()) / 1024;
        return config.name() + " out of memory: heap_kb=" + usedKb + " of_kb=" + runtime.maxMemory() / 1024 + " open=" + ingress.openCount()
                + " clients=" + front.server().terminalCount() + " " + budgets.countersLine();
    }

    /** Starts and accepts clients before it returns; an {@link IOException} if an address cannot be bound. */
    public void start() throws IOException { start(FIRST_LIST_MS); }

    /** The same, with the maximum wait in milliseconds for the first update from discovery, 0 for none. */
    public void start(double waitMs) throws IOException {
        loop.startTimer();
        loop.execute(() -> {
            firstListMs = waitMs;
            watch.start();
            if (admin != null) { admin.open(); }
            try {
                subsystems.start();
                handover.start(adminAt);
            } catch (IOException e) {
                handleFault(new UncheckedIOException(e));
            } catch (UncheckedIOException | YardusherError e) {
                handleFault(e);
            }
        });
        try {
            // If the start is short of processor time, it goes on without the first update from discovery.
            if (!ready.await(START_TIMEOUT_MS, TimeUnit.MILLISECONDS)) { loop.execute(watch::stopAwaitingUpdate); }
            if (ready.getCount() > 0 || startFailure != null) {
                if (startFailure instanceof YardusherError why) { throw why; }
                throw startFailure instanceof IOException why ? why : new IOException("no clients could be taken");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Applies what a configuration file can change at run time: the address of discovery. The counter's address is not used by
     * these decisions. An unusable file changes nothing. The result says which.
     */
    public String reload(String file) { return reload(file, null); }

    /** The same, with the yardusher settings file, null for none. Each subsystem reports what it cannot apply. */
    public synchronized String reload(String file, Path settingsFile) { // serialized, so that an older reading is not applied last
        IngressConfig next;
        Settings own;
        try {
            next = IngressConfig.read(file);
            own = subsystems.all().isEmpty() ? Settings.OFF : Settings.read(settingsFile);
        } catch (YardusherError e) {
            return "keeps its configuration: " + e.getMessage();
        } catch (StackOverflowError | OutOfMemoryError e) {
            return "keeps its configuration: " + file + ": too deep or too long";
        }
        boolean more = !config.sameExceptReloadable(next);
        config = next;
        String[] done = new String[1];
        loop.execute(() -> {
            watch.moveTo(next.discovery());
            counters.reloads++;
            done[0] = "reloaded: discovery at " + next.discovery() + (more ? "; the rest of the file waits for a restart" : "")
                    + subsystems.reload(own);
        });
        return done[0];
    }

    /**
     * Accepts for a while, answers all accepted requests, and returns just before the platform would kill the process: at the
     * latest after the deadline of the last request that can have been accepted, unless a large value is still passed on.
     */
    public void drain() throws InterruptedException {
        double mostMs = DRAIN_ACCEPT_MS + DRAIN_READ_MS + Math.max(longestDeadlineMs, MIN_DRAIN_MS) + FINAL_ANSWER_MS;
        loop.execute(() -> {
            drainBeganAtMs = loop.now();
            double closeAtMs = drainBeganAtMs + DRAIN_ACCEPT_MS;
            loop.deadlines().schedule(closeAtMs, () -> {
                serving = false;
                if (drainPlan.acceptPeriodOver() == DrainPlan.Step.CLOSE) { closeFrontsDueAt(closeAtMs); }
                loop.deadlines().schedule(loop.now() + DRAIN_READ_MS, () -> {
                    performStep(drainPlan.readPeriodOver()); // connections that arrived at the last moment and sent nothing
                    awaitOpenRequests();
                });
            });
            loop.deadlines().schedule(drainBeganAtMs + mostMs - FINAL_ANSWER_MS, front.server()::refuseWaitingBodies);
            loop.deadlines().schedule(drainBeganAtMs + mostMs, this::endUnlessValuesArePassedOn);
            performStep(drainPlan.begin());
            subsystems.drain();
        });
        long patienceMs = (long) mostMs + STARVED_LOOP_EXTRA_MS;
        while (!drained.await(patienceMs, TimeUnit.MILLISECONDS)) {
            if (!passesValuesOn) { return; }         // the event loop is stuck
            patienceMs = STARVED_LOOP_EXTRA_MS;
            passesValuesOn = false;
        }
    }

    private void performStep(DrainPlan.Step step) {
        switch (step) {
            case HAND_OVER -> {
                double readUntilMs = drainBeganAtMs + DRAIN_ACCEPT_MS + DRAIN_READ_MS;
                front.server().startHandover(readUntilMs);
                if (limitsFront != null) { limitsFront.server().startHandover(readUntilMs); }
            }
            case CLOSE -> closeFronts();
            case NONE -> { }
        }
    }

    /** A large value has no time of its own: this process stays for it until its end, or the platform's kill. */
    private void endUnlessValuesArePassedOn() {
        boolean passedValuesOn = passesValuesOn;
        passesValuesOn = counters.largeValuesOpen > 0;
        if (passesValuesOn) {
            loop.deadlines().schedule(loop.now() + VALUES_CHECK_MS, this::endUnlessValuesArePassedOn);
        } else if (passedValuesOn) {
            loop.deadlines().schedule(loop.now() + FINAL_ANSWER_MS, drained::countDown);
        } else {
            drained.countDown();
        }
    }

    /** Closes the fronts; but if this process was held up until now, what arrived meanwhile is read first. */
    private void closeFrontsDueAt(double dueMs) {
        double nowMs = loop.now();
        double lateMs = nowMs - dueMs;
        if (lateMs > HELD_UP_MS) {
            loop.deadlines().schedule(nowMs + Math.min(lateMs, MAX_CATCH_UP_MS), this::closeFronts);
        } else {
            closeFronts();
        }
    }

    private void closeFronts() {
        serving = false;
        ending = true;
        // Clients waiting for a full process are accepted before it closes, with half of what the backends leave unused.
        int spare = Math.max(0, descriptorBudget * 2 / 5 - pool.connectionCount()) / 2;
        pool.setMaxConnections(descriptorBudget * 2 / 5 - spare);
        front.server().setMaxConnections(descriptorBudget * 3 / 5 + spare - (limitsFront == null ? 0 : LimitsFrontend.MAX_TERMINALS));
        front.server().close();
        if (limitsFront != null) { limitsFront.server().close(); }
    }

    private void awaitOpenRequests() {
        // Waits for answers still in the send buffer, or that a close with unread bytes would destroy: a connection is finished
        // once its client has closed it too, or its time for that is over. The listeners are closed by then: a client accepted
        // between this and the halt would be redirected and cut off with its answer on the way.
        if (ingress.openCount() == 0 && !subsystems.isBusy() && front.server().isFinished()
                && (limitsFront == null || limitsFront.server().isFinished())) {
            drained.countDown();
        } else {
            loop.deadlines().schedule(loop.now() + 20, this::awaitOpenRequests);
        }
    }

    public String countersLine() {
        String[] line = new String[1];
        loop.execute(() -> line[0] = ingress.countersLine());
        return line[0];
    }

    public void close() {
        loop.execute(() -> {
            watch.stop();
            handover.close();
            if (peers != null) { peers.close(); }
            if (admin != null) { admin.close(); }
            closeFronts();
            subsystems.close();
        });
        subsystems.end();
        loop.stop();
        sockets.shutdown();
    }

    private static InetSocketAddress address(String fromEnvironment) {
        try {
            return yardusher.net.Sockets.parseAddress(fromEnvironment);
        } catch (ConfigError e) {
            throw e.in("RELAY_ADMIN_ADDR");
        }
    }

    /** The folder in which two versions of one ingress find each other: the platform's private one. */
    private static Path handoverFolder() {
        String folder = System.getenv("TMPDIR");
        return folder == null || folder.isEmpty() ? null : Path.of(folder);
    }

    /** Whether the limits file turns the limits front on. A text search, so that the usual start loads no TOML parser. */
    private static boolean enablesLimitsFront(Path limitsFile) throws IOException {
        return limitsFile != null && Files.exists(limitsFile)
                && Files.readString(limitsFile).lines().anyMatch(line -> line.strip().startsWith("listen"));
    }

    /** Reloads if requested since the last reload began, and prints the result. */
    private static void reloadIfRequested(IngressProcess serve, AtomicBoolean asked, String file, Path settingsFile) {
        if (serve != null && asked.getAndSet(false)) { System.err.println(serve.config.name() + " " + serve.reload(file, settingsFile)); }
    }

    /**
     * A poller that met the end of the memory may have no successor, and has lost a completion. A process that ends is started
     * again; one that no longer polls would answer nobody and stay.
     */
    private void exitIfOutOfMemory(Throwable error) {
        if (!(error instanceof OutOfMemoryError)) { return; }
        try {
            System.err.println(config.name() + " exits: out of memory, " + error.getMessage());
            System.err.println(memoryLine());
            System.err.flush();
        } finally {
            Runtime.getRuntime().halt(EXIT_OUT_OF_MEMORY);
        }
    }

    /** The sub-command: serves until SIGTERM, then drains and exits 0. */
    static int run(String file, Path limitsFile, Path settingsFile) throws IOException {
        DoubleSupplier clock = clock();
        double bornMs = clock.getAsDouble();
        // First of all, since SIGHUP would end the process by default. One that arrives before the start is complete is deferred.
        AtomicReference<IngressProcess> reloads = new AtomicReference<>();
        AtomicBoolean asked = new AtomicBoolean();
        Signal.handle(new Signal("HUP"), hup -> {
            asked.set(true);
            reloadIfRequested(reloads.get(), asked, file, settingsFile);
        });
        IngressConfig config = IngressConfig.read(file);
        String adminAt = System.getenv("RELAY_ADMIN_ADDR"); // overrides the file: it belongs to this process
        IngressProcess serve = new IngressProcess(config, adminAt == null || adminAt.isEmpty() ? config.admin() : address(adminAt),
                handoverFolder(), enablesLimitsFront(limitsFile) ? LimitsConfig.read(limitsFile) : null, Settings.read(settingsFile),
                clock, bornMs);
        serve.sockets.onPollerError(serve::exitIfOutOfMemory);
        Thread end = new Thread(() -> {
            try {
                serve.drain();
            } catch (InterruptedException e) { /* the process ends all the same */ }
            try {
                serve.loop.execute(() -> {
                    serve.handover.close();
                    serve.subsystems.close();
                });
                serve.subsystems.end();
                System.err.println(config.name() + " ends: " + serve.countersLine());
                System.err.flush();
            } finally {
                Runtime.getRuntime().halt(0);        // even if a component fails to close: all accepted requests are answered
            }
        }, "drain");
        Runtime.getRuntime().addShutdownHook(end);
        reloads.set(serve);
        reloadIfRequested(serve, asked, file, settingsFile);
        if (SighupStatus.isIgnored()) { System.err.println(config.name() + " " + SighupStatus.IGNORED_HINT); }
        try {
            serve.start();
        } catch (IOException | RuntimeException e) {
            // The hook would exit with 0, like a process that served and was told to end.
            if (!end.isAlive()) { Runtime.getRuntime().removeShutdownHook(end); }
            serve.close();
            throw e;
        }
        System.err.println(config.name() + " serves at " + serve.front.server().address()
                + (serve.limitsFront == null ? "" : ", limits at " + serve.limitsFront.server().address()));
        if (!config.unused().isEmpty()) { System.err.println(config.name() + " not used: " + String.join(", ", config.unused())); }
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }
}
