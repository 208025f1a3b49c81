package yardusher.agent;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.error.WireError;
import yardusher.fleet.LocalInstances;
import yardusher.fleet.WorkProcedure;
import yardusher.net.LineReader;
import yardusher.net.Connection;
import yardusher.net.Sockets;

/** This agent's instances as the fleet's work sees them. In loop. */
final class FleetInstances implements LocalInstances {
    private static final double CALL_MS = 2000;

    private final Map<String, Instance> instances;
    private final Sockets sockets;
    private final EventLoop loop;
    private final double withinMs;
    private final Function<AgentConfig.Entry, InetSocketAddress> admins;
    private final List<ReadyWait> waiting = new ArrayList<>();

    /** Who waits for an instance that was started more often than so. */
    private static final class ReadyWait {
        final Instance instance;
        final long starts;
        final Consumer<Boolean> then;
        Deadlines.Entry limit;

        ReadyWait(Instance instance, long starts, Consumer<Boolean> then) {
            this.instance = instance;
            this.starts = starts;
            this.then = then;
        }
    }

    /** {@code withinMs}: an instance has so long to end and to answer again. */
    FleetInstances(Map<String, Instance> instances, Sockets sockets, double withinMs, Function<AgentConfig.Entry, InetSocketAddress> admins) {
        this.instances = instances;
        this.sockets = sockets;
        this.loop = sockets.loop();
        this.withinMs = withinMs;
        this.admins = admins;
    }

    @Override
    public List<WorkProcedure.InstanceStatus> standings() {
        List<WorkProcedure.InstanceStatus> all = new ArrayList<>();
        instances.forEach((name, one) -> {
            // Who was stopped by hand is no part of the fleet until somebody starts it.
            if (one.state() != Instance.State.STOPPED) { all.add(new WorkProcedure.InstanceStatus(name, one.state() == Instance.State.READY)); }
        });
        return all;
    }

    @Override
    public boolean has(String instance) { return instances.containsKey(instance); }

    @Override
    public long starts(String instance) { return instances.get(instance).starts(); }

    @Override
    public boolean isReady(String instance) { return instances.get(instance).state() == Instance.State.READY; }

    @Override
    public void restart(String instance, Consumer<Boolean> then) {
        Instance one = instances.get(instance);
        await(one, one.starts(), then);
        one.stop(true);
    }

    @Override
    public void awaitReady(String instance, Consumer<Boolean> then) { await(instances.get(instance), -1, then); }

    private void await(Instance instance, long starts, Consumer<Boolean> then) {
        ReadyWait one = new ReadyWait(instance, starts, then);
        one.limit = loop.deadlines().schedule(loop.now() + withinMs, () -> {
            waiting.remove(one);
            then.accept(false);
        });
        waiting.add(one);
        loop.defer(this::changed);
    }

    /** An instance's state has changed. */
    void changed() {
        for (Iterator<ReadyWait> all = waiting.iterator(); all.hasNext();) {
            ReadyWait one = all.next();
            if (one.instance.state() != Instance.State.READY || one.instance.starts() <= one.starts) { continue; }
            all.remove();
            loop.deadlines().cancel(one.limit);
            loop.defer(() -> one.then.accept(true));
        }
    }

    @Override
    public void reload(String instance) { instances.get(instance).reload(); }

    @Override
    public void call(String instance, String line, Consumer<String> then) {
        InetSocketAddress at = admins.apply(instances.get(instance).entry);
        if (at == null) {
            loop.defer(() -> then.accept("400 no second address is configured"));
            return;
        }
        boolean[] over = new boolean[1];
        Consumer<String> once = answer -> {
            if (over[0]) { return; }
            over[0] = true;
            then.accept(answer);
        };
        sockets.connect(at, CALL_MS, channel -> {
            LineReader lines = new LineReader(512);
            Connection link = new Connection(channel, loop, new Connection.Owner() {
                @Override
                public boolean onReadable(Connection from) {
                    String answer;
                    try {
                        answer = lines.nextLine();
                    } catch (WireError e) {
                        answer = "400 " + e.getMessage();
                    }
                    if (answer == null) { return true; }
                    from.close();
                    once.accept(answer);
                    return false;
                }

                @Override
                public void onClosed(Connection from) { once.accept(null); }
            }, lines);
            link.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            link.readMore();
            loop.deadlines().schedule(loop.now() + CALL_MS, () -> {
                link.close();
                once.accept(null);
            });
        }, () -> once.accept(null));
    }
}
