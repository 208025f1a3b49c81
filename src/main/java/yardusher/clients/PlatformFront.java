package yardusher.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import yardusher.Api;
import yardusher.core.Flow;
import yardusher.core.Ingress;
import yardusher.core.Intake;
import yardusher.core.Order;
import yardusher.core.Session;
import yardusher.core.Terminal;
import yardusher.error.CommandError;
import yardusher.error.YardusherError;
import yardusher.net.Answers;
import yardusher.net.Budget;
import yardusher.net.Sockets;
import yardusher.resp.Call;
import yardusher.resp.Encoder;

/** The front for the platform's protocol: CALL.GET, CALL.POST and PING. */
public final class PlatformFront implements Answers.Commands {
    private static final byte[] AWAY = new Encoder(32).failure("ERR clients are sent away").toBytes();
    private static final byte[] BUSY = new Encoder(16).failure("BUSY").toBytes();

    private final Ingress ingress;
    private final Intake intake;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> plans = new HashMap<>();
    private final Answers answers;
    private boolean unitsOn;                         // names of units are read in the list
    private boolean unitsPassOn;
    private LongFunction<String> keyShown;           // null where keys are off
    private Supplier<String> keyLine;
    /** The ids of transactions without their final answer: a second one under such an id is somebody else's. */
    private final Set<Long> ids = new HashSet<>();

    public PlatformFront(Sockets sockets, InetSocketAddress at, Ingress ingress, Intake intake,
            List<String> classNames, List<String> planNames, int mostTerminals, Budget bodies) throws IOException {
        this.ingress = ingress;
        this.intake = intake;
        for (String name : classNames) { classes.put(name, classes.size()); }
        for (String name : planNames) { plans.put(name, plans.size()); }
        answers = new Answers(sockets, at, true, mostTerminals, bodies, this);
    }

    public Answers answers() { return answers; }

    @Override
    public void command(byte[][] words, Answers.Slot slot) {
        if (Call.is(words)) {
            call(words, slot);
        } else if (keyLine != null && keys(words, slot)) {
            return;                                  // answered
        } else if (answers.isAway() && Answers.isPing(words)) {
            slot.answer(AWAY);
        } else {
            Answers.common(words, ingress::countersLine, slot);
        }
    }

    @Override
    public void gone(Answers.Slot slot) {
        if (slot.stay == null) { return; }
        ids.remove(slot.stay.order().cargo().id());
        slot.stay.gone();
    }

    @Override
    public void spoilt() { ingress.counters().invalid++; }

    /** From now on KEYS.SHOW and KEYS.STATS are answered, to callers on this machine. */
    public void answerKeys(LongFunction<String> shown, Supplier<String> line) {
        keyShown = shown;
        keyLine = line;
    }

    /** From now on the names u, p and b are read in lists, and regions are told of them or not. */
    public void readUnits(boolean passOn) {
        unitsOn = true;
        unitsPassOn = passOn;
    }

    private boolean keys(byte[][] words, Answers.Slot slot) {
        String name = new String(words[0], StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT);
        if (!name.startsWith("KEYS.") || !slot.isFromHere()) { return false; }
        String key = words.length > 1 ? new String(words[1], StandardCharsets.ISO_8859_1) : "";
        if (name.equals("KEYS.STATS") && words.length == 1) {
            slot.answer(new Encoder(256).bulk(keyLine.get()).toBytes());
        } else if (name.equals("KEYS.SHOW") && words.length == 2 && key.matches("[0-9a-f]{1,16}")) {
            slot.answer(new Encoder(128).bulk(keyShown.apply(Long.parseUnsignedLong(key, 16))).toBytes());
        } else {
            slot.reject("KEYS.STATS, or KEYS.SHOW and 1 to 16 hex digits");
        }
        return true;
    }

    private void call(byte[][] words, Answers.Slot slot) {
        Call call;
        int classIndex;
        int plan;
        try {
            call = unitsOn ? Call.withUnit(words, unitsPassOn) : Call.of(words);
            classIndex = index(classes, call.className);
            plan = index(plans, call.plan);
            check(call, classIndex);
        } catch (YardusherError e) {
            slot.reject(e.getMessage());
            return;
        }
        slot.stay = intake.take(new Order(classIndex, plan, call.customer, call.units, call.first, call.spread,
                call.waitMs, call, new Reply(this, slot, call.id)));
        if (slot.isAnswered()) { slot.stay = null; }
    }

    private static int index(Map<String, Integer> of, String name) {
        Integer index = of.get(name);
        if (index == null) { throw new CommandError.Argument("unknown class or plan"); }
        return index;
    }

    /** Whether a command that can be read is also one that a client of these settings sends; its id is then held. */
    private void check(Call call, int classIndex) {
        Api.Settings settings = ingress.settings();
        Api.Effect effect = settings.classes().get(classIndex).effect();
        if (call.isGet() != (effect == Api.Effect.IDEMPOTENT) || call.hasBody() == call.isGet()) {
            throw new CommandError.Argument("not the command of this class");
        }
        if ((call.key != null) != (effect == Api.Effect.DEDUPLICATED)) {
            throw new CommandError.Argument("a keyed class needs k, and no other has it");
        }
        if (settings.maxUnits() > 0 && call.units > settings.maxUnits()) { throw new CommandError.Argument("bad units"); }
        if (call.spread < 1 || call.spread > settings.gateways() || call.first >= settings.gateways()) {
            throw new CommandError.Argument("bad set of ingresses");
        }
        if (!ids.add(call.id)) { throw new CommandError.Refused("a request with this id is open"); }
    }

    private record Reply(PlatformFront front, Answers.Slot slot, long id) implements Terminal {
        @Override
        public Session session() { return slot.session(); }

        @Override
        public void served(byte[] value) { end(new Encoder(value.length + 16).bulk(value).toBytes()); }

        @Override
        public Flow begin(long length) {
            Flow flow = slot.flow(new Encoder(24).bulkHead(length).toBytes());
            return new Flow() {
                @Override
                public void part(ByteBuffer bytes, Runnable taken) { flow.part(bytes, taken); }

                @Override
                public void end() {
                    front.ids.remove(id);
                    flow.end();
                }

                @Override
                public void broken() {
                    front.ids.remove(id);
                    flow.broken();
                }
            };
        }

        @Override
        public void reject(long retryAfterMs, boolean mayHaveRun) {
            end(retryAfterMs <= 0 ? BUSY : new Encoder(24).failure("BUSY " + retryAfterMs).toBytes());
        }

        @Override
        public void failed(String why, boolean mayHaveRun) { end(new Encoder(64).failure("ERR " + why).toBytes()); }

        private void end(byte[] answer) {
            front.ids.remove(id);
            slot.answer(answer);
        }
    }
}
