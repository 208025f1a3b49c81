package yardusher.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import sun.misc.Signal;
import yardusher.Api;
import yardusher.admin.AdminFront;
import yardusher.admin.Figures;
import yardusher.admin.Operator;
import yardusher.clients.PlatformFront;
import yardusher.core.Counters;
import yardusher.core.Ingress;
import yardusher.core.Neighbours;
import yardusher.core.OrderLog;
import yardusher.core.Turns;
import yardusher.journal.Journal;
import yardusher.keys.KeyedIntake;
import yardusher.limits.LimitsConfig;
import yardusher.limits.LimitsFront;
import yardusher.list.ServiceTable;
import yardusher.list.Watch;
import yardusher.log.Logs;
import yardusher.net.Sockets;
import yardusher.peers.PeerSocket;
import yardusher.servers.RegionPool;
import yardusher.settings.Settings;

/** One real ingress: all parts put together, from the start to an orderly end. */
public final class Serve {
    private static final double ACCEPT_ON_MS = 500;  // after SIGTERM connections keep coming 0.2 to 0.4 s
    private static final long JOURNAL_END_MS = 2000; // at the end, for a slow disk to take the last outcomes
    private static final int OWN_DESCRIPTORS = 64;   // of the JVM, the listeners and the watch

    private final Turns turns;
    private final Sockets sockets;
    private final Counters counters = new Counters();
    private final RegionPool pool;
    private final Ingress ingress;
    private final PlatformFront front;
    private final LimitsFront limitsFront;
    private final Watch watch;
    private final ServiceTable table;
    private final AdminFront admin;                  // null where no second address is named
    private final KeyedIntake keys;                  // null where it is off
    private final Journal journal;                   // null where it is off
    private final PeerSocket peers;
    private final CountDownLatch drained = new CountDownLatch(1);
    private final double longestMs;
    private Config config;                           // as it was last read
    private boolean serving;                         // clients are taken

    /** Takes the limits front's file, or null where it is off. */
    public Serve(Config config, LimitsConfig limits) throws IOException { this(config, limits, Settings.OFF, clock()); }

    /** The clock gives milliseconds of Unix time and never goes back. */
    public Serve(Config config, LimitsConfig limits, Settings own, DoubleSupplier clock) throws IOException {
        this(config, config.admin(), limits, own, clock);
    }

    /** With a second address other than the configuration's, or null for none. */
    private Serve(Config config, InetSocketAddress adminAt, LimitsConfig limits, Settings own, DoubleSupplier clock)
            throws IOException {
        this.config = config;
        turns = new Turns(clock, this::fault);
        sockets = new Sockets(turns);
        int budget = Math.max(64, config.sockets() - OWN_DESCRIPTORS);
        Api.Settings settings = config.settings();
        pool = new RegionPool(sockets, counters, settings.report(), config.dialMs(), config.idleMs(), budget * 2 / 5);
        peers = config.peerListen() == null || !settings.limits().peers() ? null
                : new PeerSocket(config.peerListen(), config.peers(), turns);
        journal = own.journal() == null ? null : journal(own);
        if (journal != null) {
            counters.more = () -> " " + journal.line();
            if (own.keys() != null) { journal.recordPrints(); }
        }
        Neighbours neighbours = peers == null ? (to, body) -> { } : peers;
        longestMs = settings.classes().stream().mapToDouble(Api.RequestClass::deadlineMs).max().orElse(1000);
        Object[] made = new Object[7];
        Exception[] problem = new Exception[1];
        turns.turn(() -> {
            try {
                Ingress core = new Ingress(settings, config.seed(), turns, pool, neighbours, counters, journal == null ? OrderLog.NONE : journal);
                pool.serve(core);
                ServiceTable table = new ServiceTable(config.zones(), pool);
                core.tell(table.take(config.known(), Api.ListKind.CACHED));
                made[0] = core;
                made[5] = table;
                made[1] = new Watch(sockets, config.discovery(), table, core);
                if (own.keys() != null) { made[4] = keyed(own, core); }
                made[2] = new PlatformFront(sockets, config.listen(), core, made[4] == null ? core : (KeyedIntake) made[4],
                        config.classes(), config.plans(),
                        budget * 3 / 5 - (limits == null ? 0 : LimitsFront.MOST_TERMINALS));
                made[3] = limits == null ? null
                        : new LimitsFront(sockets, core, limits, config.classes(), config.plans());
                made[6] = adminAt == null ? null : new AdminFront(sockets, adminAt, new Calls());
            } catch (IOException | RuntimeException e) {
                problem[0] = e;
            }
        });
        if (problem[0] instanceof IOException e) { throw e; }
        if (problem[0] instanceof RuntimeException e) { throw e; }
        ingress = (Ingress) made[0];
        watch = (Watch) made[1];
        front = (PlatformFront) made[2];
        limitsFront = (LimitsFront) made[3];
        keys = (KeyedIntake) made[4];
        table = (ServiceTable) made[5];
        admin = (AdminFront) made[6];
        if (keys != null) {
            front.answerKeys(keys::told, keys::line);
            java.util.function.Supplier<String> before = counters.more;
            counters.more = () -> before.get() + " " + keys.line();
        }
    }

    /** What the calls at the second address do. */
    private final class Calls implements Operator {
        @Override
        public boolean takesClients() { return serving && !front.answers().isAway(); }

        @Override
        public String figures() {
            return Figures.lines(counters, config.classes(), ingress.openCount(), table.size(), ingress.avoided());
        }

        @Override
        public void ban(String region, boolean out) {
            if (!table.everListed(region)) { throw new IllegalArgumentException("no backend " + region + " was ever listed"); }
            long id = ServiceTable.id(region);
            ingress.tell(new Api.Ban(id, out));      // the module first: it places anew what the pool gives up
            pool.ban(id, out);
        }

        @Override
        public void drain(boolean away) {
            front.answers().away(away);
            if (limitsFront != null) { limitsFront.answers().away(away); }
        }
    }

    public Ingress ingress() { return ingress; }

    /** Null where no second address is named. */
    public AdminFront admin() { return admin; }

    public Turns turns() { return turns; }

    public PlatformFront front() { return front; }

    public LimitsFront limitsFront() { return limitsFront; }

    /** Milliseconds of Unix time that go on evenly: slots of all ingresses turn together, and nothing goes back. */
    private static DoubleSupplier clock() {
        Instant start = Instant.now();
        double startMs = start.getEpochSecond() * 1e3 + start.getNano() / 1e6;
        long startNanos = System.nanoTime();
        return () -> startMs + (System.nanoTime() - startNanos) / 1e6;
    }

    private void fault(Throwable e) {
        counters.faults++;
        if (counters.faults <= 20) { e.printStackTrace(); }
    }

    public void start() {
        turns.startTimer();
        if (peers != null) { peers.start(ingress); }
        turns.turn(() -> {
            watch.start();
            if (limitsFront != null) { limitsFront.answers().open(); }
            if (admin != null) { admin.open(); }
            front.answers().open();                  // last: a PING is answered once all else is ready
            serving = true;
        });
    }

    /**
     * Takes over what a configuration file read anew can change while all goes on: where discovery is found. The
     * counter is not asked by these decisions. A file that cannot be used changes nothing. The result says which.
     */
    public String reload(String file) {
        Config next;
        try {
            next = Config.read(file);
        } catch (Config.Bad e) {
            return "keeps its configuration: " + e.getMessage();
        }
        String[] done = new String[1];
        turns.turn(() -> {
            watch.move(next.discovery());
            boolean more = !config.sameBut(next);
            config = next;
            counters.reloads++;
            done[0] = "reloaded: discovery at " + next.discovery() + (more ? "; the rest of the file waits for a restart" : "");
        });
        return done[0];
    }

    /** Accepts for a while, answers all that was taken, and returns well before the platform would kill it. */
    public void drain() throws InterruptedException {
        turns.turn(() -> turns.deadlines().at(turns.now() + ACCEPT_ON_MS, () -> {
            closeFronts();
            waitForOpen();
        }));
        drained.await((long) (ACCEPT_ON_MS + longestMs), TimeUnit.MILLISECONDS);
    }

    private void closeFronts() {
        serving = false;
        front.answers().close();
        if (limitsFront != null) { limitsFront.answers().close(); }
    }

    private void waitForOpen() {
        if (ingress.openCount() == 0 && front.answers().terminalCount() == 0
                && (limitsFront == null || limitsFront.answers().terminalCount() == 0)) {
            drained.countDown();
        } else {
            turns.deadlines().at(turns.now() + 20, this::waitForOpen);
        }
    }

    public String countersLine() {
        String[] line = new String[1];
        turns.turn(() -> line[0] = ingress.countersLine());
        return line[0];
    }

    public void close() {
        turns.turn(() -> {
            watch.stop();
            if (admin != null) { admin.close(); }
            closeFronts();
        });
        if (peers != null) { peers.close(); }
        endJournal();
        turns.stop();
        sockets.shutdown();
    }

    /** A folder that cannot be used is as wrong as a setting that cannot. */
    private Journal journal(Settings own) {
        try {
            return Journal.open(own.journal(), config.name(), config.settings(), config.classes(), config.plans(), turns,
                    Logs.of(own.log(), config.name()));
        } catch (IOException e) {
            throw new IllegalArgumentException("journal.folder " + e.getMessage(), e);
        }
    }

    /** The keys' intake, with what the journal still knows of keys of earlier lives. */
    private KeyedIntake keyed(Settings own, Ingress core) throws IOException {
        KeyedIntake intake = new KeyedIntake(core, turns, own.keys(), config.settings().classes(), config.classes());
        if (own.journal() != null) {
            Journal.earlier(own.journal(), config.name(), turns.now() - intake.longestLifetimeMs(), (key, print, className, sentAt, endedAt, ran) ->
                    intake.restore(key, print, config.classes().indexOf(className), sentAt, endedAt, ran));
        }
        return intake;
    }

    private void endJournal() {
        if (journal != null) { journal.close(JOURNAL_END_MS); }
    }

    private static InetSocketAddress address(String fromEnvironment) throws Config.Bad {
        try {
            return yardusher.net.Sockets.address(fromEnvironment);
        } catch (IllegalArgumentException e) {
            throw new Config.Bad("RELAY_ADMIN_ADDR: " + e.getMessage() + "; digits and a port are allowed, as 127.0.0.4:19000");
        }
    }

    /** Whether the limits file opens the front at all. A plain look, so that the platform's start loads no parser. */
    private static boolean listens(Path limitsFile) throws IOException {
        return limitsFile != null && Files.exists(limitsFile)
                && Files.readString(limitsFile).lines().anyMatch(line -> line.strip().startsWith("listen"));
    }

    /** The sub-command: serves until SIGTERM, then drains and exits 0. */
    static int run(String file, Path limitsFile, Path settingsFile) throws IOException, Config.Bad {
        Config config = Config.read(file);
        String adminAt = System.getenv("RELAY_ADMIN_ADDR"); // goes before the file's: it is this very process's
        Serve serve = new Serve(config, adminAt == null || adminAt.isEmpty() ? config.admin() : address(adminAt), listens(limitsFile) ? LimitsConfig.read(limitsFile) : null, Settings.read(settingsFile),
                clock());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                serve.drain();
            } catch (InterruptedException e) { /* the process ends all the same */ }
            serve.endJournal();
            System.err.println(config.name() + " ends: " + serve.countersLine());
            System.err.flush();
            Runtime.getRuntime().halt(0);
        }, "drain"));
        // Before the first PING is answered: the default of this signal would end the process.
        Signal.handle(new Signal("HUP"), hup -> System.err.println(config.name() + " " + serve.reload(file)));
        serve.start();
        System.err.println(config.name() + " serves at " + serve.front.answers().address()
                + (serve.limitsFront == null ? "" : ", limits at " + serve.limitsFront.answers().address()));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }
}
