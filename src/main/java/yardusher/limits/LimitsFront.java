package yardusher.limits;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import yardusher.Api;
import yardusher.core.Flow;
import yardusher.core.Ids;
import yardusher.core.Ingress;
import yardusher.core.Order;
import yardusher.core.Terminal;
import yardusher.error.CommandError;
import yardusher.error.ConfigError;
import yardusher.net.Answers;
import yardusher.net.Budget;
import yardusher.net.Sockets;
import yardusher.resp.Call;
import yardusher.resp.Encoder;

/**
 * The front that answers RESP commands for limits, as redis-cell's CL.THROTTLE. Quantity 0 asks the module and
 * changes nothing; quantity 1 and more is a transaction through all stages, allowed only once it was sent on
 * and served. No limit is worked out here: every figure is the module's.
 */
public final class LimitsFront implements Answers.Commands {
    /** Connections held at the most. */
    public static final int MOST_TERMINALS = 64;
    private static final double FLOOD_PAUSE_MS = 50; // the flood waits in its own connection
    private static final int MOST_OPEN = 128;        // transactions of this front at once

    private final Ingress ingress;
    private final LimitsConfig config;
    private final List<String> plans;
    private final int classIndex;
    private final String className;
    private final Sockets sockets;
    private final Ids ids = new Ids();               // order nodes drop repeats by id: none may come twice
    private final Answers answers;
    private double queries;
    private double queriesAt;
    private int open;

    public LimitsFront(Sockets sockets, Ingress ingress, LimitsConfig config, List<String> classNames,
            List<String> planNames) throws IOException {
        this.sockets = sockets;
        this.ingress = ingress;
        this.config = config;
        this.plans = planNames;
        this.classIndex = classIndex(config, ingress.settings(), classNames);
        this.className = classNames.get(classIndex);
        check(config, ingress.settings(), classNames, planNames);
        this.queries = config.queriesPerS();
        this.queriesAt = sockets.loop().now();
        this.answers = new Answers(sockets, config.listen(), true, MOST_TERMINALS, new Budget(0), this);
    }

    /** Whether the file fits the settings: classes, plans and sets that exist. */
    public static void check(LimitsConfig config, Api.Settings settings, List<String> classNames, List<String> planNames) {
        int ingresses = settings.gateways();
        classIndex(config, settings, classNames);
        config.partners().forEach((key, partner) -> check(key, partner, planNames, ingresses));
        if (config.others() != null) { check("others", config.others(), planNames, ingresses); }
    }

    /** The class named, or where none is the first that is safe to repeat. */
    private static int classIndex(LimitsConfig config, Api.Settings settings, List<String> classNames) {
        int index = classNames.indexOf(config.className());
        for (int i = 0; config.className().isEmpty() && index < 0 && i < classNames.size(); i++) {
            if (settings.classes().get(i).effect() == Api.Effect.IDEMPOTENT) { index = i; }
        }
        if (index < 0) {
            throw new ConfigError.UnknownName("limits", "class", config.className().isEmpty() ? "class must be named: none of these is safe to repeat"
                    : "unknown class " + config.className());
        }
        return index;
    }

    private static void check(String key, LimitsConfig.Partner partner, List<String> planNames, int ingresses) {
        if (!planNames.contains(partner.plan())) {
            throw new ConfigError.UnknownName("limits", key + ".plan", key + " has the unknown plan " + partner.plan());
        }
        if (partner.first() >= ingresses || partner.spread() > ingresses) {
            throw new ConfigError.Conflict("limits", key + ".spread", key + " names more ingresses than there are");
        }
    }

    public Answers answers() { return answers; }

    @Override
    public void command(byte[][] words, Answers.Slot slot) {
        if (!new String(words[0], StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT).equals("CL.THROTTLE")) {
            if (answers.isAway() && Answers.isPing(words)) {
                slot.answer(new Encoder(32).failure("ERR clients are sent away").toBytes());
            } else {
                Answers.common(words, ingress::countersLine, slot);
            }
            return;
        }
        try {
            Throttle asked = Throttle.of(words);
            LimitsConfig.Partner partner = config.partner(asked.key());
            if (partner == null) { throw new CommandError.NotFound("no such partner"); }
            int plan = plans.indexOf(partner.plan());
            Api.Plan limits = ingress.settings().plans().get(plan);
            if (!asked.agreesWith(limits)) { throw new CommandError.Argument(contradiction(partner, limits)); }
            if (asked.quantity() == 0) {
                query(partner, plan, slot);
            } else {
                use(asked, partner, plan, slot);
            }
        } catch (CommandError e) {
            slot.reject(e.getMessage());
        }
    }

    @Override
    public void spoilt() { ingress.counters().invalid++; }

    @Override
    public void gone(Answers.Slot slot) {
        if (slot.stay != null) {
            open--;
            slot.stay.gone();
        }
    }

    private static String contradiction(LimitsConfig.Partner partner, Api.Plan limits) {
        long period = limits.ratePerS() >= 5 ? 1 : 60;
        return "limits contradict the plan " + partner.plan() + ": max_burst " + (Throttle.limit(limits) - 1) + ", count "
                + Math.max(1, Math.round(limits.ratePerS() * period)) + " in a period of " + period;
    }

    private void query(LimitsConfig.Partner partner, int plan, Answers.Slot slot) {
        // Guards place-order against a flood of questions: past this rate they cost next to nothing.
        double now = sockets.loop().now();
        queries = Math.min(config.queriesPerS(), queries + config.queriesPerS() * (now - queriesAt) / 1000);
        queriesAt = now;
        if (queries < 1) {
            slot.pauseReading(FLOOD_PAUSE_MS);
            error(slot, "too many limit queries, come back in " + (long) Math.ceil((1 - queries) * 1000 / config.queriesPerS()) + " ms");
            return;
        }
        queries--;
        Api.QuotaStatus standing = ingress.standing(partner.customer(), plan, 1, partner.first(), partner.spread());
        slot.answer(told(standing, standing.retryAfterMs() > 0 || standing.remaining() < 1));
    }

    private void use(Throttle asked, LimitsConfig.Partner partner, int plan, Answers.Slot slot) {
        double most = ingress.settings().maxUnits();
        if (most > 0 && asked.quantity() > most) { // 0: not bounded
            throw new CommandError.Argument("quantity is at most " + (long) most);
        }
        if (open >= MOST_OPEN) {
            error(slot, "too many limit commands at once");
            return;
        }
        Api.Effect effect = ingress.settings().classes().get(classIndex).effect();
        boolean safe = effect == Api.Effect.IDEMPOTENT;
        String list = "c=" + className + ",t=" + partner.plan() + ",d=" + config.waitMs()
                + (effect == Api.Effect.DEDUPLICATED ? ",k=" + id() : "") + ",units=" + asked.quantity() + ",spread=" + partner.spread() + ",first="
                + partner.first();
        byte[] customer = ascii(String.format("%016x", partner.customer()));
        Call call = Call.of(safe ? new byte[][] {ascii("CALL.GET"), customer, ascii(id()), list.getBytes(StandardCharsets.UTF_8)}
                : new byte[][] {ascii("CALL.POST"), customer, ascii(id()), list.getBytes(StandardCharsets.UTF_8), new byte[0]});
        open++;
        slot.stay = ingress.take(new Order(classIndex, plan, partner.customer(), asked.quantity(),
                partner.first(), partner.spread(), config.waitMs(), call, new Reply(slot, partner, plan, asked.quantity())));
        if (slot.isAnswered()) { slot.stay = null; }
    }

    private final class Reply implements Terminal {
        private final Answers.Slot slot;
        private final LimitsConfig.Partner partner;
        private final int plan;
        private final int quantity;

        Reply(Answers.Slot slot, LimitsConfig.Partner partner, int plan, int quantity) {
            this.slot = slot;
            this.partner = partner;
            this.plan = plan;
            this.quantity = quantity;
        }

        @Override
        public void served(byte[] value) {
            open--;
            slot.answer(told(standing(), false));
        }

        /** The value's bytes are nobody's here: allowed is what counts. */
        @Override
        public Flow begin(long length) {
            return new Flow() {
                @Override
                public void part(ByteBuffer bytes, Runnable taken) { sockets.loop().afterwards(taken); }

                @Override
                public void end() { served(null); }

                @Override
                public void broken() { failed("failed", true); }
            };
        }

        @Override
        public void reject(long retryAfterMs, boolean mayHaveRun) {
            open--;
            if (mayHaveRun) {
                // Guards against "limited" for a partner with room: this was a failure or a time-out of a region.
                error(slot, "sent on and not served, come back in " + retryAfterMs + " ms");
                return;
            }
            Api.QuotaStatus standing = standing();
            slot.answer(told(new Api.QuotaStatus(standing.limit(), standing.remaining(),
                    Math.max(standing.retryAfterMs(), retryAfterMs), standing.resetMs()), true));
        }

        @Override
        public void failed(String why, boolean mayHaveRun) {
            open--;
            error(slot, why);
        }

        private Api.QuotaStatus standing() {
            return ingress.standing(partner.customer(), plan, quantity, partner.first(), partner.spread());
        }
    }

    /** redis-cell's answer: limited, limit, remaining, seconds to retry (-1 when allowed), seconds to reset. */
    private static byte[] told(Api.QuotaStatus standing, boolean limited) {
        long retry = limited ? Math.max(1, (long) Math.ceil(standing.retryAfterMs() / 1000)) : -1;
        return new Encoder(48).array(5).whole(limited ? 1 : 0).whole((long) Math.floor(standing.limit() + 1e-9))
                .whole((long) Math.floor(standing.remaining() + 1e-9)).whole(retry)
                .whole((long) Math.ceil(standing.resetMs() / 1000)).toBytes();
    }

    private static void error(Answers.Slot slot, String why) {
        slot.answer(new Encoder(96).failure("ERR " + why).toBytes());
    }

    private String id() { return String.format("%016x", ids.next()); }

    private static byte[] ascii(String text) { return text.getBytes(StandardCharsets.US_ASCII); }
}
