package yardusher.agent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import yardusher.core.EventLoop;
import yardusher.fleet.FleetAgent;
import yardusher.fleet.FleetSettings;
import yardusher.net.RespServer;
import yardusher.net.Sockets;
import yardusher.resp.Encoder;

/**
 * Manages many instances on this machine, from one file. It listens for RESP commands: AGENT.STATUS, and
 * AGENT.START, AGENT.STOP, AGENT.RESTART and AGENT.RELOAD, each for one name or for all. Restarting all goes one at a time,
 * the next once the one before answers again.
 */
public final class Agent implements RespServer.CommandHandler {
    private final EventLoop loop;
    private final Sockets sockets;
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private final ArrayDeque<Instance> restartQueue = new ArrayDeque<>();
    private final RespServer answers;
    private final long stopMs;
    private final CountDownLatch allExited = new CountDownLatch(1);
    private boolean closing;
    private final FleetAgent fleet;                  // null where the file names none
    private final boolean leaveInstances;
    private final FleetInstances targets;

    public Agent(AgentConfig config) throws IOException { this(config, entry -> null); }

    /** {@code admins}: the second address of an instance, as its configuration names it; null for none. */
    public Agent(AgentConfig config, Function<AgentConfig.Entry, InetSocketAddress> admins) throws IOException {
        long start = System.nanoTime();
        loop = new EventLoop(() -> (System.nanoTime() - start) / 1e6, Throwable::printStackTrace);
        sockets = new Sockets(loop);
        stopMs = config.stopMs();
        FleetSettings part = config.fleet();
        targets = part == null ? null : new FleetInstances(instances, sockets, part.readyMs() + config.stopMs(), admins);
        fleet = part == null ? null : new FleetAgent(part, sockets, targets);
        leaveInstances = part != null && part.leaveInstances();
        for (AgentConfig.Entry entry : config.instances()) {
            instances.put(entry.name(), new Instance(entry, config, sockets, fleet == null ? null : fleet.fenceStore(), this::changed));
        }
        answers = new RespServer(sockets, Sockets.parseAddress(config.control()), part == null ? 16 : 16 + 8 * part.members().size(), this);
    }

    public InetSocketAddress address() throws IOException { return answers.address(); }

    public void start() {
        loop.startTimer();
        loop.execute(() -> {
            instances.values().forEach(Instance::adoptOrStart);
            answers.startAccepting();
            if (fleet != null) { fleet.start(); }
        });
    }

    /** Stops all instances and waits for their ends; where the file says so, they go on and the next agent adopts them. */
    public void close() throws InterruptedException {
        loop.execute(() -> {
            closing = true;
            restartQueue.clear();
            answers.close();
            if (fleet != null) { fleet.close(); }
            if (leaveInstances) { allExited.countDown(); } else { instances.values().forEach(instance -> instance.stop(false)); }
            changed();
        });
        allExited.await(stopMs + 2000, TimeUnit.MILLISECONDS);
        loop.stop();
        if (fleet != null) {
            try {
                fleet.end();
            } catch (IOException e) {
                System.err.println("agent: " + e.getMessage());
            }
        }
        sockets.shutdown();
    }

    private void changed() {
        if (closing && instances.values().stream().allMatch(Instance::hasExited)) { allExited.countDown(); }
        Instance now = restartQueue.peek();
        if (now != null && now.state() == Instance.State.READY) {
            restartQueue.poll();
            loop.defer(this::roll);
        }
        if (targets != null) { targets.changed(); }
    }

    private void roll() {
        if (!restartQueue.isEmpty()) { restartQueue.peek().stop(true); }
    }

    @Override
    public void handle(byte[][] words, RespServer.Slot slot) {
        String name = new String(words[0], StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT);
        if (fleet != null && name.startsWith("FLEET.")) {
            fleet.command(words, slot);
            return;
        }
        if (!name.startsWith("AGENT.")) {
            RespServer.handleCommon(words, () -> String.join("\n", statuses()), slot);
            return;
        }
        List<Instance> chosen = new ArrayList<>();
        for (int i = 1; i < words.length; i++) {
            Instance instance = instances.get(new String(words[i], StandardCharsets.UTF_8));
            if (instance == null) {
                slot.answer(new Encoder(48).error("ERR no such instance").toBytes());
                return;
            }
            chosen.add(instance);
        }
        if (chosen.isEmpty()) { chosen.addAll(instances.values()); }
        switch (name) {
            case "AGENT.STATUS" -> {
                Encoder out = new Encoder(256).array(chosen.size());
                chosen.forEach(instance -> out.bulk(instance.status()));
                slot.answer(out.toBytes());
                return;
            }
            case "AGENT.START" -> chosen.forEach(Instance::start);
            case "AGENT.RELOAD" -> chosen.forEach(Instance::reload);
            case "AGENT.STOP" -> {
                boolean stopsHead = chosen.contains(restartQueue.peek());
                restartQueue.removeAll(chosen);
                chosen.forEach(instance -> instance.stop(false));
                if (stopsHead) { roll(); }
            }
            case "AGENT.RESTART" -> {
                boolean idle = restartQueue.isEmpty();
                chosen.removeAll(restartQueue);
                restartQueue.addAll(chosen);
                if (idle) { roll(); }
            }
            default -> {
                slot.answer(new Encoder(48).error("ERR unknown command").toBytes());
                return;
            }
        }
        slot.answer(new Encoder(16).simpleString("OK").toBytes());
    }

    @Override
    public void onTerminalLeft(RespServer.Slot slot) { /* nothing is under way for it */ }

    private Collection<String> statuses() { return instances.values().stream().map(Instance::status).toList(); }
}
