package yardusher.view;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import yardusher.error.ViewError;
import yardusher.view.View.State;

/**
 * The membership protocol of one ingress: SWIM with the Lifeguard extensions, fixed observers on a ring as in Rapid, and anti-entropy by
 * comparing table digests. It does no I/O and has no clock or thread: each call passes the current time in ms, and
 * {@link #nextTickMs} says when {@link #tick} is due. Times may stand still or jump forward (the process was stopped), but never
 * go back. docs/design/view.md explains the design.
 */
public final class Membership {
    /** The protocol's outputs: datagrams, errors and member changes. */
    public interface World {
        void send(InetSocketAddress to, byte[] body);

        /** Reports a condition that an operator should know about. */
        void wrong(ViewError error);

        /** The stored record of a member has changed; used by the checkers of the lab. */
        default void held(String name, long life, long incarnation, State state) { }
    }

    /** The state of this ingress in the protocol. */
    public enum Phase {
        /** Asks seeds for admission; its view holds itself and whatever it has heard so far. */
        JOINING,
        /** Takes part as a member. */
        IN,
        /** Another process holds its name; it only observes, and repeats its join request at a slow rate. */
        TAKEN,
        /** Has announced its departure and sends nothing more. */
        LEFT
    }

    /** Deliberate defects with which tests prove that the checkers detect them; never set in production. */
    public enum Flaw { NO_REFUTATION, NO_HELPERS, LEFT_COME_BACK, NO_HEALTH, NO_ASKING_THE_GONE }

    private static final class Probe {
        final Entry target;
        final long life;
        final int number;
        double againAt;                              // next step: a second ping, then indirect probes by helpers
        double askAt;
        double failAt;
        boolean asked;
        int helpers;
        int unheard;

        Probe(Entry target, int number) {
            this.target = target;
            this.number = number;
            life = target.life;
        }
    }

    private static final class Favour {
        final InetSocketAddress asker;
        final int number;
        final long life;
        double until;

        Favour(InetSocketAddress asker, int number, long life, double until) {
            this.asker = asker;
            this.number = number;
            this.life = life;
            this.until = until;
        }
    }

    private static final int HELPERS = 3;
    /** ALIVE predecessors on the ring that observe a member: the first probes it each round, all of them once it is suspected. */
    private static final int WATCHERS = 4;
    private static final int FANOUT = 3;
    private static final int MOST_FAVOURS = 256;
    private static final int MOST_PAGES = 8;         // datagrams sent in reply to one SYNC or JOIN
    private static final double LATE_MS = 30;        // a timer that fires later than this shows that the process was not running
    private static final double HEARD_MS = 5000;     // how long a member's reported digest counts as recent
    private static final double GONE_EVERY_MS = 1000;
    private static final double ASKS_OF_ONE = 4;     // pings of one GONE member, from all members together
    private static final double SEED_EVERY_MS = 5000;
    private static final int SEEDS_AT_ONCE = 3;
    private static final double SYNC_EVERY_MS = 1000;
    private static final double SYNC_STILL_MS = 300;
    private static final double JOIN_LEAST_MS = 200;
    private static final double JOIN_MOST_MS = 5000;
    private static final double FORGET_EVERY_MS = 10_000;
    private static final double ENTERING_MS = 3000;
    private static final double SAME_MS = 100;

    private final ViewSettings settings;
    private final World world;
    private final Random random;
    private final Wire wire;
    private final Roster roster;
    private final Settled settled;
    private final Rumours rumours = new Rumours();
    private final Health health = new Health();
    private final Flaw flaw;
    private final double roundMs;
    private final double gossipMs;

    private Who self;
    private long life;
    private long born;
    private long incarnation;
    private Phase phase = Phase.JOINING;
    private Entry own;                               // the table's entry for this name; the holder's while the name is taken
    private long claimant;                           // instance whose claim to this name was last reported; 0 for none

    private final List<Probe> probes = new ArrayList<>();
    private final Map<Integer, Favour> favours = new LinkedHashMap<>();
    private final List<Entry> order = new ArrayList<>();
    private int orderAt;
    private int number;
    private int joinNumber;
    private int joins;
    private int alone;                               // consecutive seed probes sent while no other member was known
    private double enteredMs;
    private double dueAt = Double.POSITIVE_INFINITY;
    private double roundAt = Double.POSITIVE_INFINITY;
    private double gossipAt = Double.POSITIVE_INFINITY;
    private double goneAt = Double.POSITIVE_INFINITY;
    private double seedAt = Double.POSITIVE_INFINITY;
    private double joinAt = Double.POSITIVE_INFINITY;
    private double forgetAt = Double.POSITIVE_INFINITY;
    private double syncFrom;                         // earliest time of the next table comparison

    private View.Picture picture;
    private long pictureOf = -1;
    private double pictureMs;

    private final long[] sent = new long[Wire.Type.values().length];
    private long sentBytes;
    private long spoilt;
    private long refused;
    private long accused;
    private long lost;
    private long refuted;
    private long late;

    public Membership(ViewSettings settings, String name, String hall, InetSocketAddress at, long seed, double now, World world) {
        this(settings, new Who(name, hall, at), seed, now, world, UnaryOperator.identity(), null);
    }

    Membership(ViewSettings settings, Who self, long seed, double now, World world, UnaryOperator<Who> known, Flaw flaw) {
        this.settings = settings;
        this.self = self;
        this.world = world;
        this.flaw = flaw;
        random = new Random(seed);
        wire = new Wire(known);
        roster = new Roster(self.name(), settings.rememberS() * 1000.0, now, world);
        settled = new Settled(roster, settings.settleMs());
        roundMs = settings.probeMs();
        gossipMs = roundMs / 3;
    }

    /** Creates a member with the given flaw and with interned identities; for the lab. */
    public static Membership flawed(ViewSettings settings, String name, String hall, InetSocketAddress at, long seed, double now, World world,
            UnaryOperator<Object> known, Flaw flaw) {
        return new Membership(settings, new Who(name, hall, at), seed, now, world, who -> (Who) known.apply(who), flaw);
    }

    /** Starts the protocol; {@code at} is the address at which the other members reach this one. */
    public void start(double now, InetSocketAddress at) {
        self = new Who(self.name(), self.hall(), at);
        life = random.nextLong();
        // The clock only gives a first value: on joining, the incarnation is raised above any that the others know for this name.
        incarnation = born = Math.max(1, Math.min((long) (now / 1000), Roster.MOST_INCARNATION / 2));
        roster.set(news(State.ALIVE), now);
        own = roster.get(self.name());
        forgetAt = now + FORGET_EVERY_MS;
        if (seeds().isEmpty()) { enter(now, 0); } else { joinAt = now + random.nextDouble() * JOIN_LEAST_MS / 4; }
        dueAt = nextDue(now);
    }

    private List<InetSocketAddress> seeds() { return settings.seeds().stream().filter(one -> !one.equals(self.at())).toList(); }

    private News news(State state) { return new News(self, life, born, incarnation, state, News.NOBODY, 0); }

    /** Returns the time by which {@link #tick} has to be called. */
    public double next() { return dueAt; }

    /** Runs all timers that are due. */
    public void tick(double now) {
        if (phase == Phase.LEFT || now < dueAt) { return; }
        double behind = now - dueAt;
        if (behind > LATE_MS && flaw != Flaw.NO_HEALTH) { slept(behind); }
        for (Probe probe : List.copyOf(probes)) { follow(probe, now); }
        for (Favour favour : List.copyOf(favours.values())) {
            if (favour.until <= now) {
                favours.values().remove(favour);
                write(favour.asker, writer(Wire.Type.UNHEARD).probe(favour.number, favour.life));
            }
        }
        for (Entry entry : List.copyOf(roster.suspects())) {
            if (deadline(entry) <= now) { lose(entry, now, "silent"); }
        }
        if (roundAt <= now) { round(now); }
        if (gossipAt <= now) { gossip(now); }
        if (goneAt <= now) { askGone(now); }
        if (seedAt <= now) { askSeed(now); }
        if (joinAt <= now) { join(now); }
        if (forgetAt <= now) {
            roster.forget(now);
            forgetAt = now + FORGET_EVERY_MS;
        }
        settled.look(now, this::picture);
        dueAt = nextDue(now);
    }

    private double nextDue(double now) {
        if (phase == Phase.LEFT) { return Double.POSITIVE_INFINITY; }
        if (gossipAt == Double.POSITIVE_INFINITY && !rumours.isEmpty() && phase == Phase.IN) { gossipAt = now + gossipMs * random.nextDouble(); }
        double next = Math.min(Math.min(Math.min(roundAt, gossipAt), Math.min(goneAt, seedAt)), Math.min(joinAt, forgetAt));
        for (Probe probe : probes) { next = Math.min(next, probe.asked ? probe.failAt : Math.min(probe.askAt, probe.againAt)); }
        for (Favour favour : favours.values()) { next = Math.min(next, favour.until); }
        for (Entry entry : roster.suspects()) { next = Math.min(next, deadline(entry)); }
        return Math.min(next, settled.next(now));
    }

    /** Extends all pending timeouts by the time in which this process did not run: it could not have received any answer meanwhile. */
    private void slept(double ms) {
        late++;
        if (ms > roundMs / 2) { health.lateness(); }
        for (Probe probe : probes) {
            probe.againAt += ms;
            probe.askAt += ms;
            probe.failAt += ms;
        }
        for (Favour favour : favours.values()) { favour.until += ms; }
        // After a long pause one more round: datagrams queued in the socket must be read before any suspect is declared gone.
        for (Entry entry : roster.suspects()) { entry.sinceMs += ms > roundMs / 2 ? ms + roundMs : ms; }
    }

    private double deadline(Entry suspect) {
        return suspect.sinceMs + Suspicion.lasts(roundMs, settings.suspicion(), roster.there().size(), suspect.accusers.length, health.patience());
    }

    // ---- probes

    private void round(double now) {
        roundAt = now + roundMs * health.slower() * (0.95 + 0.1 * random.nextDouble());
        int there = roster.there().size();
        if (there < 2) { return; }
        for (int i = 0; i < there; i++) {            // the next active member in the shuffled order
            if (orderAt >= order.size()) {
                order.clear();
                order.addAll(roster.there());
                Collections.shuffle(order, random);
                orderAt = 0;
            }
            Entry entry = order.get(orderAt++);
            if (entry != own && entry.isThere()) {
                probe(entry, now);
                break;
            }
        }
        watch(now);
    }

    /** Probes the next member on the ring, and continues past members that are suspected. */
    private void watch(double now) {
        int there = roster.there().size();
        for (int steps = 1; steps < Math.min(WATCHERS + 1, there); steps++) {
            Entry entry = roster.after(own, steps);
            probe(entry, now);
            if (entry.state == State.ALIVE) { break; }
        }
    }

    private void probe(Entry target, double now) {
        if (target == own || probes.stream().anyMatch(one -> one.target == target)) { return; }
        Probe probe = new Probe(target, ++number);
        probe.againAt = now + roundMs * 0.3 * health.slower();
        probe.askAt = now + roundMs * 0.5 * health.slower();
        probe.failAt = now + roundMs * health.slower();
        probes.add(probe);
        ping(target, probe.number, now);
    }

    private void ping(Entry target, int probe, double now) {
        Wire.Writer out = writer(Wire.Type.PING).probe(probe, target.life);
        // The target of a suspicion or of a GONE record learns of it at once and can refute it.
        if (target.state != State.ALIVE) { out.add(target.news(now)); }
        write(target.who.at(), fill(out, now));
    }

    private void follow(Probe probe, double now) {
        if (!probe.target.isThis(probe.target, probe.life) || !probe.target.isThere()) {
            probes.remove(probe);
            return;
        }
        if (probe.againAt <= now) {
            probe.againAt = Double.POSITIVE_INFINITY;
            ping(probe.target, probe.number, now);   // a single lost datagram should not trigger indirect probes
        }
        if (!probe.asked && probe.askAt <= now) {
            probe.asked = true;
            ping(probe.target, probe.number, now);
            if (flaw != Flaw.NO_HELPERS) {
                for (Entry helper : some(HELPERS, probe.target)) {
                    probe.helpers++;
                    write(helper.who.at(), writer(Wire.Type.ASK).probe(probe.number, probe.life).one(probe.target.news(now)));
                }
            }
        }
        if (probe.failAt > now) { return; }
        probes.remove(probe);
        if (flaw != Flaw.NO_HEALTH) { health.silence(Math.max(0, probe.helpers - probe.unheard)); }
        if (roster.accuse(probe.target, (int) own.place, now)) {
            accused++;
            rumours.add(probe.target, 0);
            watch(now);                              // a failed data hall takes several neighbours on the ring at once
        }
    }

    /** Picks up to {@code count} random active members other than this one and {@code but}. */
    private List<Entry> some(int count, Entry but) {
        List<Entry> there = roster.there();
        List<Entry> some = new ArrayList<>(count);
        for (int i = 0; i < 4 * count && some.size() < count && !there.isEmpty(); i++) {
            Entry one = there.get(random.nextInt(there.size()));
            if (one != own && one != but && !some.contains(one)) { some.add(one); }
        }
        return some;
    }

    private void lose(Entry entry, double now, String why) {
        roster.lose(entry, now);
        lost++;
        rumours.add(entry, 0);
        if (goneAt == Double.POSITIVE_INFINITY) { goneAt = now + GONE_EVERY_MS * random.nextDouble(); }
    }

    /** Pings GONE members, so that each is pinged a few times a second by all members together. */
    private void askGone(double now) {
        List<Entry> gone = roster.gone();
        goneAt = gone.isEmpty() || phase != Phase.IN ? Double.POSITIVE_INFINITY : now + GONE_EVERY_MS * (0.5 + random.nextDouble());
        if (gone.isEmpty() || phase != Phase.IN || flaw == Flaw.NO_ASKING_THE_GONE) { return; }
        if (random.nextDouble() * roster.there().size() < ASKS_OF_ONE * gone.size()) { ping(gone.get(random.nextInt(gone.size())), 0, now); }
    }

    /** Pings seeds that are not in the view, for as long as this process runs. */
    private void askSeed(double now) {
        alone = roster.there().size() > 1 ? 0 : alone + 1;    // admitted by a seed that knew nobody, or partitioned
        seedAt = now + (alone == 0 ? SEED_EVERY_MS : backoff(alone)) * (0.5 + random.nextDouble());
        List<InetSocketAddress> silent = seeds().stream().filter(at -> roster.there().stream().noneMatch(one -> one.who.at().equals(at))).toList();
        if (flaw == Flaw.NO_ASKING_THE_GONE) { return; }
        List<InetSocketAddress> asked = new ArrayList<>(silent);
        Collections.shuffle(asked, random);
        for (InetSocketAddress seed : asked.subList(0, Math.min(SEEDS_AT_ONCE, asked.size()))) { write(seed, fill(writer(Wire.Type.PING).probe(0, 0), now)); }
    }

    // ---- gossip and updates

    private int limit() { return 3 * (int) Math.ceil(Math.log(roster.there().size() + 1.0)) + 3; }

    private Wire.Writer fill(Wire.Writer out, double now) {
        long mark = rumours.mark();
        int most = limit();
        while (phase == Phase.IN && out.hasRoom(256)) {
            Entry next = rumours.next(most, mark);
            if (next == null) { break; }
            out.add(next.news(now));
        }
        return out;
    }

    private void gossip(double now) {
        gossipAt = Double.POSITIVE_INFINITY;
        if (phase != Phase.IN) { return; }
        for (Entry one : some(FANOUT, null)) {
            if (rumours.isEmpty()) { break; }
            write(one.who.at(), fill(writer(Wire.Type.GOSSIP), now));
        }
        if (!rumours.isEmpty()) { gossipAt = now + gossipMs; }
    }

    private void announce(double now) {
        roster.set(news(State.ALIVE), now);
        rumours.add(own, 0);
    }

    /** Applies a received update about another member or about this one. */
    private Roster.Taken take(News news, double now) {
        if (news.who().name().equals(self.name())) {
            ofSelf(news, now);
            return Roster.Taken.KNOWN;
        }
        Entry before = roster.get(news.who().name());
        State was = before == null ? null : before.state;
        Roster.Taken taken = flaw == Flaw.LEFT_COME_BACK && was == State.LEFT && news.isThere() ? revive(news, now) : roster.take(news, now);
        if (taken == Roster.Taken.REFUSED) { refused++; }
        if (taken != Roster.Taken.NEW) { return taken; }
        Entry entry = roster.get(news.who().name());
        rumours.add(entry, now - enteredMs < ENTERING_MS && news.isThere() ? limit() / 2 : 0);
        if (entry.state == State.SUSPECT && phase == Phase.IN && watches(entry)) { probe(entry, now); }
        if (entry.state == State.GONE && goneAt == Double.POSITIVE_INFINITY) { goneAt = now + GONE_EVERY_MS * random.nextDouble(); }
        return taken;
    }

    /** Whether this ingress is one of the observers that probe the suspect themselves: its closest predecessors on the ring. */
    private boolean watches(Entry suspect) {
        int alive = 0;
        for (int steps = 1; steps <= 4 * WATCHERS && alive < WATCHERS; steps++) {
            Entry before = roster.after(suspect, -steps);
            if (before == own) { return true; }
            if (before.state == State.ALIVE) { alive++; }
        }
        return false;
    }

    private Roster.Taken revive(News news, double now) {
        roster.drop(roster.get(news.who().name()), now);
        return roster.take(news, now);
    }

    /** Applies an update about this ingress's own name. */
    private void ofSelf(News news, double now) {
        if (phase == Phase.TAKEN) {
            Entry before = own;
            if (roster.take(news, now) == Roster.Taken.NEW) { own = roster.get(self.name()); }
            if (before.isThere() && !own.isThere()) { joinAt = now; }
            return;
        }
        if (phase == Phase.JOINING) {
            if (news.life() != life && !news.isThere()) { rise(news.incarnation(), now); }
            return;
        }
        if (news.incarnation() > Roster.MOST_INCARNATION || news.incarnation() > incarnation + Roster.MOST_JUMP) {
            refused++;
            return;
        }
        if (news.life() == life) {
            if (news.state() == State.LEFT) {        // LEFT is final for an instance, so a new one starts
                life = random.nextLong();
                incarnation = born = Math.max(incarnation, news.incarnation()) + 1;
                announce(now);
            } else if (news.state() != State.ALIVE && news.incarnation() >= incarnation || news.incarnation() > incarnation) {
                if (flaw == Flaw.NO_REFUTATION) { return; }
                health.silence(1);
                refuted++;
                incarnation = news.incarnation() + 1;
                announce(now);
            }
        } else if (News.later(news.born(), news.life(), born, life)) {
            if (news.isThere()) {
                yieldTo(news, now);
            } else {
                life = random.nextLong();
                incarnation = born = Math.max(incarnation, news.incarnation()) + 1;
                announce(now);
            }
        } else if (news.incarnation() >= incarnation) {
            if (news.isThere()) { taken(news); }
            incarnation = news.incarnation() + 1;
            announce(now);
        }
    }

    private void rise(long above, double now) {
        if (above >= incarnation && above < Roster.MOST_INCARNATION) {
            incarnation = born = above + 1;
            roster.set(news(State.ALIVE), now);
        }
    }

    /** Gives the name up to a later instance that takes part. */
    private void yieldTo(News later, double now) {
        world.wrong(new ViewError.Replaced(self.name(), text(later.who().at()), later.incarnation()));
        phase = Phase.TAKEN;
        life = random.nextLong();
        probes.clear();
        roster.set(later, now);
        roundAt = gossipAt = goneAt = seedAt = Double.POSITIVE_INFINITY;
        joinAt = now + JOIN_MOST_MS;
    }

    private void taken(News other) {
        if (claimant == other.life()) { return; }
        claimant = other.life();
        world.wrong(new ViewError.NameTaken(self.name(), text(other.who().at())));
    }

    // ---- joining

    private void join(double now) {
        if (phase == Phase.IN) {
            joinAt = Double.POSITIVE_INFINITY;
            return;
        }
        joins++;
        joinAt = now + (phase == Phase.TAKEN ? JOIN_MOST_MS : backoff(joins)) * (0.6 + 0.8 * random.nextDouble());
        List<InetSocketAddress> seeds = new ArrayList<>(seeds());
        // Members learned of meanwhile are asked too, in case no seed answers.
        for (Entry one : some(2, own)) { seeds.add(one.who.at()); }
        if (seeds.isEmpty()) { return; }
        if (phase == Phase.JOINING && joins == 12) {
            world.wrong(new ViewError.NoSeed(String.join(" ", settings.seeds().stream().map(Membership::text).toList())));
        }
        joinNumber = ++number;
        Collections.shuffle(seeds, random);
        for (InetSocketAddress seed : seeds.subList(0, Math.min(joins == 1 ? 1 : 2, seeds.size()))) { write(seed, writer(Wire.Type.JOIN).probe(joinNumber, 0)); }
    }

    private static double backoff(int tries) { return Math.min(JOIN_MOST_MS, JOIN_LEAST_MS * Math.pow(1.25, Math.min(tries, 30))); }

    /** Becomes a member, with an incarnation greater than {@code above}, the highest known for the name. */
    private void enter(double now, long above) {
        if (above >= incarnation) { incarnation = above + 1; }
        born = incarnation;
        phase = Phase.IN;
        claimant = 0;
        roster.set(news(State.ALIVE), now);
        own = roster.get(self.name());
        rumours.add(own, 0);
        enteredMs = now;
        joinAt = Double.POSITIVE_INFINITY;
        joins = 0;
        roundAt = now + roundMs * random.nextDouble();
        seedAt = now + JOIN_LEAST_MS * (0.5 + random.nextDouble());
        if (!roster.gone().isEmpty()) { goneAt = now + GONE_EVERY_MS * random.nextDouble(); }
    }

    private void welcome(Wire.Message m, double now) {
        Entry held = roster.get(m.from().who().name());
        if (held != null && held == own && phase == Phase.JOINING) { held = null; }
        write(m.from().who().at(), writer(Wire.Type.WELCOME).probe(m.number(), m.from().life()).one(held == null ? null : held.news(now)));
        if (held != null && held == own && phase == Phase.IN) {
            claimed(m.from(), m.number());
        } else if (held != null && held.isThere() && held.life != m.from().life()) {
            // The holder of the name can object itself; otherwise its silence, or another process at its address, frees the name.
            write(held.who.at(), writer(Wire.Type.CLAIMED).probe(m.number(), m.from().life()).one(m.from()));
            if (phase == Phase.IN) { probe(held, now); }
        }
        if (m.table() != roster.bucketsDigest()) { pages(m.from().who().at(), null, now); }
        if (phase == Phase.JOINING && joinAt > now + JOIN_LEAST_MS) { joinAt = now + JOIN_LEAST_MS * random.nextDouble(); } // a peer responds
    }

    private void claimed(News by, int claim) {
        if (by.life() == life) { return; }
        taken(by);
        write(by.who().at(), writer(Wire.Type.MINE).probe(claim, by.life()));
    }

    private void welcomed(Wire.Message m, double now) {
        if (phase != Phase.JOINING && phase != Phase.TAKEN || m.number() != joinNumber || m.life() != life) { return; }
        News held = m.one();
        if (held == null || held.life() == life || !held.isThere()) {
            enter(now, held == null || held.incarnation() > Roster.MOST_INCARNATION ? phase == Phase.TAKEN ? own.incarnation : 0 : held.incarnation());
            ping(m.from().who(), m.from().life(), now);
        } else {
            joinAt = Math.min(joinAt, now + (phase == Phase.TAKEN ? JOIN_MOST_MS : roundMs) * (0.6 + 0.8 * random.nextDouble()));
        }
    }

    private void ping(Who at, long itsLife, double now) { write(at.at(), fill(writer(Wire.Type.PING).probe(0, itsLife), now)); }

    /** Handles the objection of the process that holds this name. */
    private void objected(Wire.Message m, double now) {
        if (phase != Phase.JOINING && phase != Phase.TAKEN || m.life() != life || !m.from().who().name().equals(self.name())) { return; }
        taken(m.from());
        phase = Phase.TAKEN;
        roster.set(m.from(), now);
        joinAt = now + JOIN_MOST_MS * (0.8 + 0.4 * random.nextDouble());
    }

    // ---- table synchronisation

    private void pages(InetSocketAddress to, long[] theirs, double now) {
        long[] ours = roster.buckets();
        Wire.Writer out = writer(Wire.Type.GOSSIP);
        int pages = 0;
        boolean some = false;
        List<Entry> all = new ArrayList<>(roster.all());
        Collections.rotate(all, random.nextInt(all.size() + 1)); // a random start, so that repeated replies cover a table too long for one
        for (Entry entry : all) {
            int bucket = Roster.bucket(entry.name);
            if (theirs != null && theirs[bucket] == ours[bucket] || entry == own && phase != Phase.IN) { continue; }
            if (!out.add(entry.news(now))) {
                write(to, out);
                if (++pages >= MOST_PAGES) { return; }
                out = writer(Wire.Type.GOSSIP);
                out.add(entry.news(now));
            }
            some = true;
        }
        if (some) { write(to, out); }
    }

    private void compare(InetSocketAddress with, double now) {
        if (now < syncFrom || phase != Phase.IN) { return; }
        boolean calm = now - roster.changedMs() > SYNC_STILL_MS && rumours.size() < 32;
        if (!calm && now - syncFrom < 2 * SYNC_EVERY_MS) { return; } // the difference may still be in flight as gossip
        syncFrom = now + SYNC_EVERY_MS * (0.5 + random.nextDouble());
        write(with, writer(Wire.Type.SYNC).buckets(roster.buckets(), true));
    }

    // ---- received messages

    /** Handles the body of a received datagram, from any sender. */
    public void heard(double now, byte[] body) {
        if (phase == Phase.LEFT) { return; }
        Wire.Message m;
        try {
            m = wire.read(body);
        } catch (ViewError e) {
            spoilt++;
            return;
        }
        if (m.from().life() == life && m.from().who().name().equals(self.name())) { return; } // its own datagram, looped back
        Entry contradicted = m.taking() ? speaker(m, now) : null;
        for (News one : m.news()) { take(one, now); }
        if (phase == Phase.JOINING && m.taking() && joinAt > now + JOIN_LEAST_MS) { joinAt = now + JOIN_LEAST_MS * random.nextDouble(); } // a peer responds
        if (phase != Phase.LEFT) { answer(m, contradicted, now); }
        dueAt = Math.min(dueAt, nextDue(now));
    }

    /** Applies the sender's record of itself; returns the stored entry where it contradicts that record, else null. */
    private Entry speaker(Wire.Message m, double now) {
        Roster.Taken taken = take(m.from(), now);
        Entry entry = roster.get(m.from().who().name());
        if (entry == null || entry == own) { return entry == own && phase == Phase.IN ? own : null; }
        if (entry.life == m.from().life()) {
            entry.heldDigest = m.digest();
            entry.heldAtMs = now;
            if (m.table() != roster.bucketsDigest()) { compare(m.from().who().at(), now); }
        }
        boolean against = taken == Roster.Taken.OUTDATED || taken == Roster.Taken.KNOWN && entry.state != m.from().state();
        return against ? entry : null;
    }

    private void answer(Wire.Message m, Entry contradicted, double now) {
        InetSocketAddress to = m.from().who().at();
        switch (m.type()) {
            case PING -> {
                Wire.Writer out = writer(Wire.Type.ACK).probe(m.number(), m.life());
                if (contradicted != null) { out.add(contradicted.news(now)); }
                write(to, fill(out, now));
                contradicted = null;
            }
            case ACK -> acked(m, now);
            case ASK -> ask(m, now);
            case HEARD, UNHEARD -> helped(m);
            case SYNC -> {
                pages(to, m.buckets(), now);
                if (m.again()) { write(to, writer(Wire.Type.SYNC).buckets(roster.buckets(), false)); }
            }
            case JOIN -> welcome(m, now);
            case WELCOME -> welcomed(m, now);
            case CLAIMED -> {
                if (phase == Phase.IN && m.one().who().name().equals(self.name())) { claimed(m.one(), m.number()); }
            }
            case MINE -> objected(m, now);
            default -> { }
        }
        if (contradicted != null && contradicted.correctedMs + roundMs <= now) {
            contradicted.correctedMs = now;
            Wire.Writer out = writer(Wire.Type.GOSSIP);
            out.add(contradicted.news(now));
            write(to, out);
        }
    }

    private void acked(Wire.Message m, double now) {
        Favour favour = favours.get(m.number());
        if (favour != null && m.from().life() == favour.life) {
            favours.remove(m.number());
            write(favour.asker, writer(Wire.Type.HEARD).probe(favour.number, favour.life));
            return;
        }
        for (Probe probe : probes) {
            if (probe.number != m.number()) { continue; }
            if (m.from().life() == probe.life) {
                answered(probe);
            } else if (m.from().who().equals(probe.target.who) && probe.target.life == probe.life && probe.target.isThere()) {
                probes.remove(probe);                // another process answers at its address, so that instance has ended
                lose(probe.target, now, "replaced at its address");
            }
            return;
        }
    }

    private void answered(Probe probe) {
        probes.remove(probe);
        health.better();
    }

    private void ask(Wire.Message m, double now) {
        if (favours.size() >= MOST_FAVOURS || phase != Phase.IN || m.one().who().name().equals(self.name())) { return; }
        favours.put(++number, new Favour(m.from().who().at(), m.number(), m.life(), now + roundMs * 0.35));
        Wire.Writer out = writer(Wire.Type.PING).probe(number, m.life());
        if (m.one().state() != State.ALIVE) { out.add(m.one()); }
        write(m.one().who().at(), out);
    }

    private void helped(Wire.Message m) {
        for (Probe probe : probes) {
            if (probe.number != m.number() || probe.life != m.life()) { continue; }
            if (m.type() == Wire.Type.HEARD) { answered(probe); } else { probe.unheard++; }
            return;
        }
    }

    private Wire.Writer writer(Wire.Type type) {
        sent[type.ordinal()]++;
        return new Wire.Writer(type, news(State.ALIVE), phase == Phase.IN, roster.digest(), roster.bucketsDigest());
    }

    private void write(InetSocketAddress to, Wire.Writer out) {
        byte[] body = out.body();
        sentBytes += body.length;
        world.send(to, body);
    }

    // ---- leaving

    /** Announces LEFT to enough members for gossip to reach all, and sends nothing more. */
    public void leave(double now) {
        if (phase == Phase.IN) {
            roster.set(news(State.LEFT), now);
            for (Entry one : some(Math.max(FANOUT, limit()), null)) {
                Wire.Writer out = writer(Wire.Type.GOSSIP);
                out.add(own.news(now));
                write(one.who.at(), fill(out, now));
            }
        }
        phase = Phase.LEFT;
        dueAt = Double.POSITIVE_INFINITY;
    }

    // ---- state for readers

    public Phase phase() { return phase; }

    /** Returns the random id that this process has drawn. */
    public long life() { return life; }

    public void follow(Consumer<View.Change> follower) { settled.follow(follower); }

    /** Returns this ingress as the others see it; GONE while another process holds its name. */
    public View.Member self() {
        return new View.Member(self.name(), self.hall(), self.at(), incarnation,
                phase == Phase.LEFT ? State.LEFT : phase == Phase.TAKEN ? State.GONE : State.ALIVE);
    }

    /** Returns the member of that name in any state; null for an unknown name. */
    public View.Member member(String name) {
        Entry entry = roster.get(name);
        return entry == null ? null : entry.member();
    }

    /** Returns the instance id of the process known to hold a name; 0 for an unknown name. */
    public long life(String name) {
        Entry entry = roster.get(name);
        return entry == null ? 0 : entry.life;
    }

    /** Returns the digest over name, address and instance of all active members. */
    public long digest() { return roster.digest(); }

    /** Returns the time at which {@link #digest} last changed here. */
    public double changedMs() { return roster.changedMs(); }

    public int size() { return roster.there().size(); }

    public View.Picture picture(double now) {
        if (picture != null && pictureOf == roster.version() && now - pictureMs < SAME_MS) { return picture; }
        List<View.Member> members = picture != null && pictureOf == roster.version() ? picture.members()
                : roster.there().stream().map(Entry::member).sorted(Comparator.comparing(View.Member::name)).toList();
        int asked = 0;
        int same = 0;
        for (Entry entry : roster.there()) {
            if (entry == own || entry.heldAtMs < Math.max(roster.changedMs(), now - HEARD_MS)) { continue; }
            asked++;
            if (entry.heldDigest == roster.digest()) { same++; }
        }
        picture = new View.Picture(members, roster.digest(), roster.changedMs(), same, asked);
        pictureOf = roster.version();
        pictureMs = now;
        return picture;
    }

    /** Visits every remembered member in any state; for the lab. */
    public void each(Seen seen) {
        for (Entry entry : roster.all()) { seen.seen(entry.name, entry.life, entry.incarnation, entry.state); }
    }

    /** Receives one remembered member. */
    public interface Seen {
        void seen(String name, long life, long incarnation, State state);
    }

    /** Returns the report of the call {@code members}: a header line, then a line for each member. */
    public String report(double now) {
        View.Picture all = picture(now);
        StringBuilder out = new StringBuilder(256);
        out.append(String.format(java.util.Locale.ROOT, "view name=%s phase=%s there=%d suspect=%d gone=%d left=%d digest=%016x still_ms=%.0f same=%d asked=%d health=%d%n",
                self.name(), phase.name().toLowerCase(java.util.Locale.ROOT), all.members().size(), roster.suspects().size(), roster.gone().size(),
                roster.left(), all.digest(), now - all.stillSinceMs(), all.same(), all.asked(), health.score()));
        if (phase == Phase.TAKEN) {
            out.append("taken name=").append(self.name()).append(" by=").append(text(own.who.at())).append(" incarnation=").append(own.incarnation).append('\n');
        } else if (claimant != 0) {
            out.append("claimed name=").append(self.name()).append(" by=life-").append(Long.toHexString(claimant)).append('\n');
        }
        for (Entry entry : roster.all().stream().sorted(Comparator.comparing((Entry one) -> one.name)).toList()) {
            out.append(String.format(java.util.Locale.ROOT, "member name=%s hall=%s at=%s state=%s incarnation=%d life=%x for_s=%.1f%s%n", entry.name, entry.who.hall(),
                    text(entry.who.at()), entry.state.name().toLowerCase(java.util.Locale.ROOT), entry.incarnation, entry.life, Math.max(0, now - entry.sinceMs) / 1000,
                    entry == own && phase != Phase.TAKEN ? " self=yes" : ""));
        }
        return out.toString();
    }

    /** Returns {@code name=value} pairs for the counters line. */
    public String line() {
        long all = 0;
        for (long one : sent) { all += one; }
        return "view_there=" + roster.there().size() + " view_suspect=" + roster.suspects().size() + " view_gone=" + roster.gone().size() + " view_sent=" + all
                + " view_sent_bytes=" + sentBytes + " view_accused=" + accused + " view_lost=" + lost + " view_refuted=" + refuted + " view_late=" + late
                + " view_health=" + health.score() + " view_spoilt=" + spoilt + " view_refused=" + refused;
    }

    private static String text(InetSocketAddress at) { return at.getAddress().getHostAddress() + ":" + at.getPort(); }
}
