package yardusher.lab.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import yardusher.lab.Group;

/** Clients of all ingresses of a group, each in a thread of its own. Closing waits for what they still expect. */
final class FaultClients implements AutoCloseable {
    private final List<FaultClient> clients = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();

    /** Starts {@code perIngress} clients for each ingress. {@code ids} gives ids that no other request has. */
    FaultClients(Group group, int perIngress, long seed, FaultClient.Plan plan, AtomicLong ids, Consumer<FaultRequest> history) {
        this(group, perIngress, seed, plan, ids, history, ingress -> true);
    }

    /** The same; {@code mayConnect} says whether a new connection to an ingress may be opened now. */
    FaultClients(Group group, int perIngress, long seed, FaultClient.Plan plan, AtomicLong ids, Consumer<FaultRequest> history,
            IntPredicate mayConnect) {
        this(group, perIngress, seed, plan, () -> String.format("%016x", ids.incrementAndGet()), history, mayConnect);
    }

    FaultClients(Group group, int perIngress, long seed, FaultClient.Plan plan, Supplier<String> ids, Consumer<FaultRequest> history,
            IntPredicate mayConnect) {
        for (int i = 0; i < perIngress * group.size(); i++) {
            int ingress = i % group.size();
            FaultClient client = new FaultClient(ingress, group.listen(ingress), seed * 1_000 + i, plan, ids, history, mayConnect);
            clients.add(client);
            Thread thread = new Thread(client, "client " + i);
            thread.setDaemon(true);
            threads.add(thread);
        }
        threads.forEach(Thread::start);
    }

    @Override
    public void close() throws InterruptedException {
        clients.forEach(FaultClient::stop);
        for (Thread thread : threads) { thread.join(); }
    }
}
