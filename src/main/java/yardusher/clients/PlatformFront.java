package yardusher.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yardusher.Api;
import yardusher.core.Ingress;
import yardusher.core.Order;
import yardusher.core.Terminal;
import yardusher.net.Answers;
import yardusher.net.Sockets;
import yardusher.resp.Call;
import yardusher.resp.Encoder;

/** The front for the platform's protocol: CALL.GET, CALL.POST and PING. */
public final class PlatformFront implements Answers.Commands {
    private static final byte[] BUSY = new Encoder(16).failure("BUSY").toBytes();

    private final Ingress ingress;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> plans = new HashMap<>();
    private final Answers answers;
    /** The ids of transactions without their final answer: a second one under such an id is somebody else's. */
    private final Set<Long> ids = new HashSet<>();

    public PlatformFront(Sockets sockets, InetSocketAddress at, Ingress ingress, List<String> classNames,
            List<String> planNames, int mostTerminals) throws IOException {
        this.ingress = ingress;
        for (String name : classNames) { classes.put(name, classes.size()); }
        for (String name : planNames) { plans.put(name, plans.size()); }
        answers = new Answers(sockets, at, mostTerminals, this);
    }

    public Answers answers() { return answers; }

    @Override
    public void command(byte[][] words, Answers.Slot slot) {
        if (Call.is(words)) {
            call(words, slot);
        } else {
            Answers.common(words, ingress::countersLine, slot);
        }
    }

    @Override
    public void gone(Answers.Slot slot) {
        if (slot.transaction == null) { return; }
        ids.remove(((Call) slot.transaction.order.cargo()).id);
        ingress.gone(slot.transaction);
    }

    private void call(byte[][] words, Answers.Slot slot) {
        Call call;
        int classIndex;
        int plan;
        try {
            call = Call.of(words);
            classIndex = index(classes, call.className);
            plan = index(plans, call.plan);
            check(call, classIndex);
        } catch (IllegalArgumentException e) {
            ingress.counters().invalid++;
            slot.reject(e.getMessage());
            return;
        }
        slot.transaction = ingress.take(new Order(classIndex, plan, call.customer, call.units, call.first, call.spread,
                call.waitMs, call, new Reply(this, slot, call.id)));
        if (slot.isAnswered()) { slot.transaction = null; }
    }

    private static int index(Map<String, Integer> of, String name) {
        Integer index = of.get(name);
        if (index == null) { throw new IllegalArgumentException("unknown class or plan"); }
        return index;
    }

    /** Whether a command that can be read is also one that a client of these settings sends; its id is then held. */
    private void check(Call call, int classIndex) {
        Api.Settings settings = ingress.settings();
        Api.Effect effect = settings.classes().get(classIndex).effect();
        if (call.isGet() != (effect == Api.Effect.IDEMPOTENT) || call.hasBody() == call.isGet()) {
            throw new IllegalArgumentException("not the command of this class");
        }
        if ((call.key != null) != (effect == Api.Effect.DEDUPLICATED)) {
            throw new IllegalArgumentException("a keyed class needs k, and no other has it");
        }
        if (settings.mostUnits() > 0 && call.units > settings.mostUnits()) { throw new IllegalArgumentException("bad units"); }
        if (call.spread < 1 || call.spread > settings.gateways() || call.first >= settings.gateways()) {
            throw new IllegalArgumentException("bad set of ingresses");
        }
        if (!ids.add(call.id)) { throw new IllegalArgumentException("a request with this id is open"); }
    }

    private record Reply(PlatformFront front, Answers.Slot slot, long id) implements Terminal {
        @Override
        public void served(byte[] value) { end(new Encoder(value.length + 16).bulk(value).toBytes()); }

        @Override
        public void shortOnCapacity(long retryAfterMs, boolean mayHaveRun) {
            end(retryAfterMs <= 0 ? BUSY : new Encoder(24).failure("BUSY " + retryAfterMs).toBytes());
        }

        @Override
        public void failed(String why) { end(new Encoder(64).failure("ERR " + why).toBytes()); }

        private void end(byte[] answer) {
            front.ids.remove(id);
            slot.answer(answer);
        }
    }
}
