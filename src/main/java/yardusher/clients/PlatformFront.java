package yardusher.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
            slot.answer(Answers.common(words, ingress::countersLine));
        }
    }

    @Override
    public void gone(Answers.Slot slot) {
        if (slot.transaction != null) { ingress.gone(slot.transaction); }
    }

    private void call(byte[][] words, Answers.Slot slot) {
        Call call;
        Integer classIndex;
        Integer plan;
        try {
            call = Call.of(words);
            classIndex = classes.get(call.className);
            plan = plans.get(call.plan);
            if (classIndex == null || plan == null) { throw new IllegalArgumentException("unknown class or plan"); }
        } catch (IllegalArgumentException e) {
            ingress.counters().invalid++;
            slot.answer(new Encoder(64).failure("ERR " + e.getMessage()).toBytes());
            return;
        }
        slot.transaction = ingress.take(new Order(classIndex, plan, call.customer, call.units, call.first, call.spread,
                call.waitMs, call, new Reply(slot)));
        if (slot.isAnswered()) { slot.transaction = null; }
    }

    private record Reply(Answers.Slot slot) implements Terminal {
        @Override
        public void served(byte[] value) { slot.answer(new Encoder(value.length + 16).bulk(value).toBytes()); }

        @Override
        public void shortOnCapacity(long retryAfterMs, boolean mayHaveRun) {
            slot.answer(retryAfterMs <= 0 ? BUSY : new Encoder(24).failure("BUSY " + retryAfterMs).toBytes());
        }

        @Override
        public void failed(String why) { slot.answer(new Encoder(64).failure("ERR " + why).toBytes()); }
    }
}
