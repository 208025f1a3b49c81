package yardusher.parts;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.error.PartError;
import yardusher.parts.Ledger.Region;

/**
 * The decisions of one life of one ingress on its connections: what it needs, to whom it lends and gives back, what it tells
 * whom and when. Free of I/O and clock: times are milliseconds of Unix time that never go back, everything else comes and
 * goes by {@link ScriptedConnection}. Nothing here can break the number, which {@link Ledger} keeps; what is decided on old news, on a
 * wrong list of members or on made-up needs costs use only.
 */
final class Negotiator {
    /** What it sees and does. */
    interface World {
        /** Connections to a region that carry an attempt. */
        int busy(long region);

        /** Requests that were turned away for want of room, since the start. */
        long refused();

        /** Attempts begun, since the start. */
        long begun();

        /** No more attempts than this are to be out at a region. */
        void room(long region, int most);

        /** Closes so many connections that stand idle; the result says how many it began to close. */
        int shed(long region, int count);

        void send(InetSocketAddress to, byte[] body);

        /** An ingress that has so many units of this one has fallen silent: they are kept back. */
        default void silent(int ingress, int units) { }
    }

    /** {@code least}: units wanted in all while there is traffic; {@code movesPerS} by region, at the most. */
    record Rules(int least, int weight, double movesPerS) { }

    static final double FRESH_MS = 3000;             // who was silent for longer is asked for nothing
    private static final double BEAT_MS = 1000;      // to each other, where nothing is to be told
    private static final double SILENT_BEAT_MS = 4000;
    private static final int WHOLE_BEATS = 4;        // each so many beats tell all that stands
    private static final double REPEAT_MS = 100;     // what was not heard is told again
    private static final double ACTIVE_MS = 2000;
    private static final double BUSY_TICK_MS = 20;
    private static final double IDLE_TICK_MS = 200;
    private static final double ASK_MS = 60;         // an ask counts so long
    private static final double LACK_MS = 100;       // a small lack is asked for once it has lasted so long
    private static final double LARGE_LACK = 0.1;
    private static final double RATE_MS = 100;       // over which refusals and attempts are counted
    private static final double USED_MS = 3000;      // over which it is seen where attempts go
    private static final double TURN_MS = 2000;     // where some get none, others do after this
    private static final double HOME_MS = 10_000;    // what is borrowed and not used so long goes back, one by one
    private static final double LEAVE_MS = 2000;     // at the end of a process, to give back
    private static final double AHEAD_MS = 86_400_000; // a life that begins a day from now is made up

    /** A region as this ingress stands there. */
    static final class Stand {
        final Region region;
        private double used;                         // connections in use lately
        int uses;                                    // of what this ingress uses in all, what it would like here
        int wants;                                   // and of what it would like to keep
        private double part;
        private double full;                         // part of the time in which there was no room, lately
        private double rest;
        int leaving;                                 // connections on their way to be closed at both ends
        int owed;                                    // units to be given as soon as connections close
        private int room = -1;
        private double tokens;
        private double filledAt;
        private double lacksSince;
        private double idleSince;
        private double homeAt;
        private int newsHas;
        private int newsWants;
        private int newsUses;
        private int avail;                           // what others have beyond their fair parts

        Stand(Region region, double now) {
            this.region = region;
            idleSince = now;
            filledAt = now;
        }
    }

    /** Another ingress, by its number. */
    private static final class Other {
        final int number;
        InetSocketAddress at;
        double heardAt = Double.NEGATIVE_INFINITY;
        double sentAt = Double.NEGATIVE_INFINITY;
        double beatAt;
        int beats;
        int weight = 1;
        int order;
        boolean settledMe;                           // it knows what its earlier lives lent to this one
        boolean urgent;
        boolean isSilent;                            // and was said to be

        Other(int number) { this.number = number; }
    }

    private final Ledger ledger;
    private final Rules rules;
    private final World world;
    private final Division division = new Division();
    private final Need need = new Need();
    private final Map<Long, Stand> stands = new HashMap<>();
    private final Other[] others;
    private List<InetSocketAddress> members = List.of();
    private double lastTick;
    private double activeAt = Double.NEGATIVE_INFINITY;
    private double refusals;                         // a millisecond, lately
    private double attempts;
    private long refusedBefore;
    private long begunBefore;
    private double hellosAt;
    private double newsAt = Double.NEGATIVE_INFINITY;
    private int order;
    private boolean leaves;                          // the process ends: it keeps what it uses and no more
    private double leavesAt;
    long bad;                                        // bodies that are no telling
    long foreign;                                    // of another count of ingresses, or of this ingress's own number
    long stale;                                      // of a life that has ended
    long asked;                                      // units asked for
    long moved;                                      // units lent or given back
    long heard;
    long told;
    long toldBytes;

    Negotiator(Ledger ledger, Rules rules, World world, double now) {
        this.ledger = ledger;
        this.rules = rules;
        this.world = world;
        lastTick = now;
        others = new Other[ledger.count];
        for (int i = 0; i < others.length; i++) {
            if (i != ledger.self) { others[i] = new Other(i); }
        }
        refusedBefore = world.refused();
        begunBefore = world.begun();
    }

    Ledger ledger() { return ledger; }

    Collection<Stand> stands() { return stands.values(); }

    Stand stand(long region) { return stands.get(region); }

    /** A listed region holds so many connections in all, now. */
    void number(double now, long region, int number) {
        Region one = ledger.number(region, number);
        if (!stands.containsKey(region)) { stands.put(region, new Stand(one, now)); }
        room(stands.get(region));
    }

    /** A region is no longer listed. */
    void gone(long region) {
        ledger.gone(region);
        Stand stand = stands.get(region);
        if (stand != null) { stand.wants = 0; }
    }

    /** Who is there, by the view: only whom to ask first. */
    void members(List<InetSocketAddress> there) { members = there; }

    /** The process ends: what is borrowed goes back, and its share goes to who asks, as soon as it is not used any more. */
    void leave(double now) {
        leaves = true;
        leavesAt = now;
    }

    /** A connection is to be dialled; false where there is no unit for it. */
    boolean take(long region) {
        Stand stand = stands.get(region);
        return stand != null && !stand.region.gone && spare(stand) > 0 && ledger.take(stand.region);
    }

    /** Whether a connection that comes to rest is to be closed, since its unit is owed. */
    boolean isSurplus(long region) {
        Stand stand = stands.get(region);
        return stand == null || stand.region.gone || ledger.spare(stand.region) + stand.leaving < stand.owed;
    }

    /** A connection begins to close; its unit stays in use until the region has closed too. */
    void leaving(long region) {
        Stand stand = stands.get(region);
        if (stand == null) { return; }
        stand.leaving++;
        room(stand);
    }

    /** A connection is over at both ends. */
    void ended(long region, boolean wasLeaving) {
        Stand stand = stands.get(region);
        if (stand == null) { return; }
        ledger.ended(stand.region);
        if (wasLeaving) { stand.leaving--; }
        room(stand);
    }

    private int spare(Stand stand) { return ledger.spare(stand.region); }

    private void room(Stand stand) {
        int most = stand.region.gone ? 0 : Math.max(0, ledger.allowance(stand.region) - stand.owed - stand.leaving);
        if (most != stand.room) {
            stand.room = most;
            world.room(stand.region.id, most);
        }
    }

    /** Connections that this process had there before it had the claim: of its own share. */
    void had(long region, int open, int leaving) {
        Stand stand = stands.get(region);
        if (stand == null) { return; }
        stand.region.open = open;
        stand.leaving = leaving;
        room(stand);
    }

    /** The next version stands beside this process and wants so many connections in all there; the result is how many it has now. */
    int beside(long region, int wanted) {
        Stand stand = stands.get(region);
        if (stand == null || stand.region.gone) { return 0; }
        int missing = wanted - stand.region.guest;
        if (missing > 0) {
            int keeps = Math.max(stand.uses, leaves ? 0 : ledger.allowance(stand.region) / 2);
            int given = ledger.giveGuest(stand.region, Math.min(missing, ledger.allowance(stand.region) - keeps));
            if (given < missing && ledger.home(stand.region) > keeps) { world.shed(region, Math.min(missing - given, ledger.home(stand.region) - keeps)); }
            room(stand);
        }
        return stand.region.guest;
    }

    /** The process beside has ended, and regions have seen it. */
    void alone() {
        for (Stand stand : stands.values()) {
            stand.region.guest = 0;
            room(stand);
        }
    }

    /** A region came into the module's list anew: its room is to be told again. */
    void relisted(long region) {
        Stand stand = stands.get(region);
        if (stand == null) { return; }
        stand.room = -1;
        room(stand);
    }

    /** Takes a body in. */
    void heard(double now, InetSocketAddress from, byte[] body) {
        Telling telling;
        try {
            telling = Telling.of(body);
        } catch (PartError e) {
            bad++;
            return;
        }
        int number = telling.number();
        if (telling.count() != ledger.count || number == ledger.self) {
            foreign++;
            return;
        }
        if (telling.life() > now + AHEAD_MS) {
            bad++;
            return;
        }
        long before = ledger.life(number);
        boolean settledBefore = ledger.isSettled(number);
        Ledger.Heard how = ledger.hears(telling);
        if (how == Ledger.Heard.STALE) {
            stale++;
            return;
        }
        heard++;
        Other other = others[number];
        if (before != telling.life()) {
            other.settledMe = false;
            other.order = telling.order() - 1;
            other.urgent = true;
            stands.values().forEach(this::room);
        }
        other.at = from;
        other.heardAt = now;
        other.weight = telling.weight();
        if (how == Ledger.Heard.OF_ANOTHER_LIFE) {   // it does not know this life yet
            other.urgent = true;
            return;
        }
        other.settledMe = telling.settled();
        if (settledBefore != ledger.isSettled(number)) {
            other.urgent = true;
            stands.values().forEach(this::room);
        }
        boolean newer = telling.order() - other.order > 0;
        if (newer) { other.order = telling.order(); }
        for (Telling.Row row : telling.rows()) {
            Region region = ledger.region(row.region());
            if (region == null) { continue; }
            Account account = region.account(number);
            account.asking = Math.max(0, account.asking - Math.max(0, account.taken - account.takenBefore));
            account.takenBefore = account.taken;
            int home = account.back - account.backBefore;
            account.backBefore = account.back;
            if (home > 0 && row.sake() > 0 && row.sake() <= others.length && row.sake() - 1 != ledger.self && others[row.sake() - 1] != null) {
                pass(region, others[row.sake() - 1], home, now);
            }
            if (newer) {
                account.isAskNew = row.asks() > 0;
                account.asks = row.asks();
                account.asksTaken = row.taken();
                account.asksAt = now;
                if (row.ask() != account.asksNo) { account.sentHome = 0; }
                account.asksNo = row.ask();
                account.has = row.has();
                account.uses = row.uses();
                account.wants = row.wants();
            }
            if (telling.asks()) {
                account.isDirty = true;
                other.urgent = true;
            }
            Stand stand = stands.get(row.region());
            if (stand != null) { room(stand); }
        }
    }

    /** Units came home for somebody's sake: they go on at once, where they are not needed more here. */
    private void pass(Region region, Other taker, int units, double now) {
        Stand stand = stands.get(region.id);
        if (stand == null || region.gone || !isFresh(taker, now)) { return; }
        int lent = ledger.lend(region, taker.number, Math.min(units, ledger.allowance(region) - stand.uses));
        if (lent > 0) { done(stand, taker, lent); }
    }

    /** Looks, decides and tells; the result is when it is to be called again at the latest. */
    double tick(double now) {
        look(now);
        for (Stand stand : stands.values()) {
            give(stand, now);
            room(stand);
        }
        forget();
        tell(now);
        return now + (now - activeAt < ACTIVE_MS || leaves ? BUSY_TICK_MS : IDLE_TICK_MS);
    }

    private void forget() {
        for (Other other : others) {
            if (other == null || other.at == null || isFresh(other, lastTick) != other.isSilent) { continue; }
            other.isSilent = !other.isSilent;
            int units = 0;
            for (Region region : ledger.regions()) { units += other.isSilent && region.accounts[other.number] != null ? region.accounts[other.number].lent() : 0; }
            if (units > 0) { world.silent(other.number, units); }
        }
        for (Other other : others) {                 // planted, to see that the rules notice
            if (ledger.without == Ledger.Without.STOPPED_KEEPS && other != null && other.at != null && lastTick - other.heardAt > FRESH_MS) {
                ledger.ended(other.number);
                other.at = null;
            }
        }
        ledger.sweep();
        stands.values().removeIf(stand -> stand.region.gone && ledger.region(stand.region.id) == null);
    }

    /** What is needed, by what is out and what was turned away. */
    private void look(double now) {
        double since = Math.max(0, now - lastTick);
        lastTick = now;
        long refused = world.refused();
        long begun = world.begun();
        if (refused != refusedBefore || begun != begunBefore) { activeAt = now; }
        double part = since <= 0 ? 0 : 1 - Math.exp(-since / RATE_MS);
        if (since > 0) {
            refusals += part * ((refused - refusedBefore) / since - refusals);
            attempts += part * ((begun - begunBefore) / since - attempts);
            refusedBefore = refused;
            begunBefore = begun;
        }
        int busy = 0;
        for (Stand stand : stands.values()) { busy += world.busy(stand.region.id); }
        if (busy > 0) { activeAt = now; }
        // By Little's law: what was turned away would have been out as long as what was let in.
        double holdMs = attempts > 1e-6 ? busy / attempts : 100;
        double unmet = refusals * Math.min(5000, Math.max(1, holdMs));
        boolean active = now - activeAt < ACTIVE_MS;
        need.seen(since, busy, unmet < 0.05 ? 0 : unmet);
        double level = 1 - Math.exp(-since / USED_MS);
        double used = 0;
        double numbers = 0;
        for (Stand stand : stands.values()) {
            stand.full += level * ((world.busy(stand.region.id) >= stand.room ? 1 : 0) - stand.full);
            stand.used += level * (world.busy(stand.region.id) - stand.used);
            used += stand.used;
            numbers += stand.region.gone ? 0 : stand.region.number;
        }
        for (Stand stand : stands.values()) {
            stand.part = stand.region.gone || numbers == 0 ? 0 : stand.region.number / numbers;
            if (used > 0.01 && !stand.region.gone) { stand.part = 0.5 * stand.part + 0.5 * stand.used / used; }
        }
        double least = active ? rules.least : 0;
        spread(active ? Math.max(least, need.uses()) : 0, false);
        spread(!active ? 0 : Math.max(least, leaves ? need.uses() : need.wants()), true);
    }

    /**
     * Spreads what is needed in all over the regions, in whole units: first over what is there already, so that nothing is
     * moved without need, and what is more by where attempts go. Who needs little does not need some of every region.
     */
    private void spread(double units, boolean wants) {
        int all = (int) Math.ceil(units - 0.02);
        int there = 0;
        for (Stand stand : stands.values()) { there += stand.region.gone ? 0 : Math.max(0, ledger.allowance(stand.region)); }
        int more = Math.max(0, all - there);
        double parts = 0;                            // of regions where there is something to be had
        for (Stand stand : stands.values()) { parts += stand.avail > 0 ? stand.part : 0; }
        int left = all;
        for (Stand stand : stands.values()) {
            int here = stand.region.gone ? 0 : Math.max(0, ledger.allowance(stand.region));
            double whole = more > 0 ? here + (parts > 0 ? more * (stand.avail > 0 ? stand.part : 0) / parts : more * stand.part) : there == 0 ? 0 : (double) all * here / there;
            stand.rest = stand.region.gone ? -1 : whole - Math.floor(whole);
            set(stand, (int) Math.floor(whole), wants);
            left -= wants ? stand.wants : stand.uses;
        }
        for (; left > 0; left--) {
            Stand best = null;
            for (Stand stand : stands.values()) {
                if (!stand.region.gone && stand.rest >= 0 && (best == null || ahead(stand, best))) { best = stand; }
            }
            if (best == null) { break; }
            best.rest = -1;
            set(best, (wants ? best.wants : best.uses) + 1, wants);
        }
        for (Stand stand : stands.values()) {        // those that are full all the time although there is room elsewhere
            if (wants && more == 0 && stand.full > 0.6 && !stand.region.gone) { set(stand, ledger.allowance(stand.region) + 1, true); }
        }
    }

    /** Coarse, so that the same regions are ahead for as long as the use is about the same. */
    private boolean ahead(Stand one, Stand other) {
        long a = Math.round(one.rest * 4);
        long b = Math.round(other.rest * 4);
        return a != b ? a > b : Ledger.mix(one.region.id * 31 + ledger.self) < Ledger.mix(other.region.id * 31 + ledger.self);
    }

    private static void set(Stand stand, int units, boolean wants) {
        int some = Math.min(stand.region.number, units);
        if (wants) { stand.wants = Math.max(some, stand.uses); } else { stand.uses = some; }
    }

    private boolean isFresh(Other other, double now) { return other != null && now - other.heardAt < FRESH_MS; }

    /** Lends and gives back what others need more, and makes room for it. */
    private void give(Stand stand, double now) {
        Region region = stand.region;
        stand.owed = 0;
        if (region.gone) {
            stand.owed = ledger.allowance(region);
            for (Other other : others) {
                if (other != null && region.accounts[other.number] != null) { giveBack(stand, other, region.accounts[other.number].held()); }
            }
            world.shed(region.id, region.open);
            return;
        }
        if (leaves && world.busy(region.id) == 0) { world.shed(region.id, region.open); }
        double most = Math.max(8, rules.movesPerS / 4);
        stand.tokens = Math.min(most, stand.tokens + rules.movesPerS * Math.max(0, now - stand.filledAt) / 1000);
        stand.filledAt = now;
        division.clear();
        int allowance = ledger.allowance(region);
        division.add(ledger.self, allowance, stand.uses, stand.wants, rules.weight);
        for (Other other : others) {
            if (!isFresh(other, now) || region.accounts[other.number] == null) { continue; }
            Account account = region.accounts[other.number];
            int underWay = Math.max(0, account.granted - account.seenTaken) + Math.max(0, account.returned - account.seenReturned);
            division.add(other.number, account.has + underWay, account.uses, account.wants, other.weight);
        }
        for (int i = 0; i < others.length && leaves; i++) {
            if (others[i] != null && isFresh(others[i], now)) { giveBack(stand, others[i], ledger.allowance(region) - stand.uses); }
        }
        boolean asked = false;
        for (Other other : others) { asked |= isAsked(stand, other, now); }
        stand.avail = 0;
        if (asked || division.isWanted()) {
            stand.idleSince = now;
            division.divide(region.id, (long) (now / TURN_MS));
            stand.avail = division.excessBut(ledger.self);
            if (asked) { answer(stand, now); }
            if (!leaves) { ask(stand, now); }
        } else if (stand.wants >= allowance) {
            stand.idleSince = now;
        } else if (now - stand.idleSince > HOME_MS && now >= stand.homeAt) {
            home(stand, now);
        }
        // Where the number fell below what is open, or units are owed: connections close between requests.
        int over = stand.owed - Math.max(0, spare(stand)) + Math.max(0, -spare(stand)) - stand.leaving;
        if (over > 0) { world.shed(region.id, over); }
    }

    private boolean isAsked(Stand stand, Other other, double now) {
        Account account = other == null ? null : stand.region.accounts[other.number];
        return account != null && account.asks > 0 && now - account.asksAt < ASK_MS;
    }

    /** Gives to those who ask what is beyond the fair part here, a unit each in turn. */
    private void answer(Stand stand, double now) {
        int excess = Math.min(division.excess(ledger.self), (int) stand.tokens);
        for (boolean given = true; given && excess > 0;) {
            given = false;
            for (int i = 0; i < others.length && excess > 0; i++) {
                int taker = (i + ledger.self) % others.length;
                if (!isAsked(stand, others[taker], now)) { continue; }
                Account account = stand.region.account(taker);
                int due = account.asks - Math.max(0, account.granted - account.asksTaken) - account.sentHome - account.owing;
                if (due <= 0) { continue; }
                account.owing++;
                excess--;
                given = true;
            }
        }
        for (Other other : others) {
            if (!isAsked(stand, other, now)) { continue; }
            Account account = stand.region.account(other.number);
            if (account.owing > 0) {
                gift(stand, other.number, account.owing, now);
                account.owing = 0;
            } else if (account.isAskNew) {           // so that it asks another
                account.isDirty = true;
                other.urgent = true;
            }
            account.isAskNew = false;
        }
    }

    /** Asks those who have most beyond their fair parts for what is missing here. */
    private void ask(Stand stand, double now) {
        int missing = division.fair(ledger.self) - ledger.allowance(stand.region);
        for (Other other : others) {
            Account account = other == null ? null : stand.region.accounts[other.number];
            if (account == null || account.asking == 0) { continue; }
            if (now - account.askingAt >= ASK_MS) { account.asking = 0; } else { missing -= account.asking; }
        }
        if (missing <= 0) {
            stand.lacksSince = now;
            return;
        }
        // Guards against units that go to and fro with the noise of a full fleet: a small lack has to last.
        if (missing < Math.max(2, LARGE_LACK * ledger.allowance(stand.region)) && now - stand.lacksSince < LACK_MS && ledger.allowance(stand.region) > 0) { return; }
        division.choose(ledger.self, missing, (giver, units) -> {
            Account account = stand.region.account(giver);
            if (account.asking > 0) { return; }
            account.asking = units;
            account.ask = (account.ask + 1) % Telling.MOST;
            account.askingAt = now;
            account.isDirty = true;
            others[giver].urgent = true;
            asked += units;
        });
    }

    private void gift(Stand stand, int taker, int units, double now) {
        Other other = others[taker];
        Account account = stand.region.account(taker);
        int left = units - giveBack(stand, other, units);
        if (left > 0) {
            int lent = ledger.lend(stand.region, taker, left);
            if (lent > 0) { done(stand, other, lent); }
            left -= lent;
        }
        // What is held of a third goes home to it, with a word for whose sake.
        while (left > 0 && spare(stand) > 0) {
            Other owner = null;
            for (Other one : others) {
                if (isFresh(one, now) && held(stand, one) > 0 && (owner == null || held(stand, one) > held(stand, owner))) { owner = one; }
            }
            int gone = owner == null ? 0 : giveBack(stand, owner, left);
            if (gone == 0) { break; }
            stand.region.account(owner.number).sake = taker + 1;
            account.sentHome += gone;
            left -= gone;
        }
        stand.owed += left;
    }

    private int held(Stand stand, Other other) {
        Account account = stand.region.accounts[other.number];
        return account == null ? 0 : account.held();
    }

    private int giveBack(Stand stand, Other owner, int units) {
        if (units <= 0 || held(stand, owner) == 0) { return 0; }
        int gone = ledger.giveBack(stand.region, owner.number, units);
        if (gone > 0) { done(stand, owner, gone); }
        return gone;
    }

    private void done(Stand stand, Other other, int units) {
        stand.region.account(other.number).isDirty = true;
        other.urgent = true;
        stand.tokens -= units;
        moved += units;
    }

    /** Nobody needs it and neither does this one: borrowed units go home, so that a death here costs less. */
    private void home(Stand stand, double now) {
        for (Other other : others) {
            if (isFresh(other, now) && held(stand, other) > 0) {
                if (giveBack(stand, other, 1) == 0) { stand.owed = 1; } // once an idle connection has closed
                stand.homeAt = now + BEAT_MS;
                return;
            }
        }
        stand.homeAt = now + HOME_MS;
    }

    private void tell(double now) {
        double apart = Math.max(BUSY_TICK_MS, 2.0 * ledger.count); // so that news cost no more at more ingresses
        List<Stand> news = new ArrayList<>();
        for (Stand stand : stands.values()) {
            int has = ledger.allowance(stand.region);
            boolean differs = has != stand.newsHas || stand.wants != stand.newsWants || isOther(stand.uses, stand.newsUses);
            boolean short0 = stand.wants > has || stand.newsWants > stand.newsHas || now - stand.idleSince < ACTIVE_MS;
            if (differs && short0 && now - newsAt >= apart) {
                stand.newsHas = has;
                stand.newsWants = stand.wants;
                stand.newsUses = stand.uses;
                news.add(stand);
            }
        }
        if (!news.isEmpty()) { newsAt = now; }
        for (Other other : others) {
            if (other != null && other.at != null) { tell(other, news, now); }
        }
        if (now >= hellosAt) {
            hellosAt = now + BEAT_MS;
            for (InetSocketAddress member : members) {
                if (!isKnown(member, now)) { send(member, new Telling(ledger.self, ledger.count, rules.weight, ledger.life, 0, ++order, false, false, false, List.of()), now, null); }
            }
        }
    }

    /** What is used changes all the time; only a change that matters is news. */
    private static boolean isOther(int uses, int told) { return Math.abs(uses - told) >= Math.max(2, told / 8) || (uses == 0) != (told == 0); }

    private boolean isKnown(InetSocketAddress at, double now) {
        for (Other other : others) {
            if (other != null && at.equals(other.at) && now - other.heardAt < SILENT_BEAT_MS) { return true; }
        }
        return false;
    }

    private void tell(Other other, List<Stand> news, double now) {
        boolean fresh = isFresh(other, now);
        boolean beat = now >= other.beatAt;
        boolean again = fresh && now - other.sentAt >= REPEAT_MS && (isUnheard(other) || !other.settledMe);
        if (!beat && !other.urgent && !again && (news.isEmpty() || !fresh)) { return; }
        if (beat) {
            other.beatAt = now + (fresh ? BEAT_MS : SILENT_BEAT_MS);
            other.beats++;
        }
        boolean all = beat && other.beats % WHOLE_BEATS == 1 || !other.settledMe;
        other.urgent = false;
        List<Telling.Row> rows = new ArrayList<>();
        boolean asks = false;
        int olds = 0;
        for (Region region : ledger.regions()) {     // what is held of earlier lives first: it is to be told whole
            Account account = region.accounts[other.number];
            if (account != null && account.old > 0 && !other.settledMe) { rows.add(row(region, account)); }
        }
        olds = rows.size();
        for (Region region : ledger.regions()) {
            Account account = region.account(other.number);
            Stand stand = stands.get(region.id);
            if (account.old > 0 && !other.settledMe) { continue; }
            boolean changed = account.toldHas != ledger.allowance(region) || stand != null && (account.toldWants != stand.wants || isOther(stand.uses, account.toldUses));
            boolean unheard = account.isUnheard();
            asks |= unheard;
            if (all || account.isDirty || unheard && (again || beat) || beat && changed || stand != null && news.contains(stand)) {
                rows.add(row(region, account));
            }
        }
        boolean whole = !other.settledMe && olds <= Telling.ROWS;
        int from = 0;
        do {
            List<Telling.Row> some = rows.subList(from, Math.min(rows.size(), from + Telling.ROWS));
            from += some.size();
            send(other.at, new Telling(ledger.self, ledger.count, rules.weight, ledger.life, ledger.life(other.number), ++order,
                    ledger.isSettled(other.number), whole, asks, some), now, other);
            whole = false;                           // what is held of earlier lives stood in the first
        } while (from < rows.size());
    }

    private boolean isUnheard(Other other) {
        for (Region region : ledger.regions()) {
            Account account = region.accounts[other.number];
            if (account != null && account.isUnheard()) { return true; }
        }
        return false;
    }

    private Telling.Row row(Region region, Account account) {
        Stand stand = stands.get(region.id);
        account.isDirty = false;
        account.toldHas = ledger.allowance(region);
        account.toldWants = stand == null ? 0 : stand.wants;
        account.toldUses = stand == null ? 0 : stand.uses;
        return new Telling.Row(region.id, account.granted, account.back, account.taken, account.returned, account.old, account.toldHas,
                stand == null ? 0 : stand.uses, account.toldWants, account.asking, account.ask, account.sake);
    }

    private void send(InetSocketAddress to, Telling telling, double now, Other other) {
        byte[] body = telling.bytes();
        told++;
        toldBytes += body.length;
        if (other != null) { other.sentAt = now; }
        world.send(to, body);
    }

    /** Whether something is still open, or held of somebody who is there; at the end, for a bounded time. */
    boolean holds(double now) {
        if (leaves && now - leavesAt > LEAVE_MS) { return false; }
        for (Region region : ledger.regions()) {
            if (region.open > 0) { return true; }
            for (Other other : others) {
                if (isFresh(other, now) && region.accounts[other.number] != null && region.accounts[other.number].held() > 0) { return true; }
            }
        }
        return false;
    }

    /** Others heard lately. */
    int freshOthers(double now) {
        int fresh = 0;
        for (Other other : others) { fresh += isFresh(other, now) ? 1 : 0; }
        return fresh;
    }

    /** Units that cannot be used as this one knows: lent to who is silent, and the silent ones' own shares. */
    int leak(double now) {
        int leak = 0;
        for (Stand stand : stands.values()) {
            Region region = stand.region;
            if (region.gone) { continue; }
            for (Other other : others) {
                if (other == null || isFresh(other, now)) { continue; }
                Account account = region.accounts[other.number];
                leak += Ledger.share(region.id, region.number, other.number, ledger.count) + (account == null ? 0 : account.lent() - account.held());
            }
        }
        return leak;
    }
}
