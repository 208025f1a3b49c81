package yardusher.servers;

import java.nio.channels.AsynchronousSocketChannel;
import java.util.List;
import yardusher.Api;
import yardusher.core.Attempt;
import yardusher.net.Link;
import yardusher.resp.Malformed;
import yardusher.resp.Value;

/** One connection to a region, with at most one attempt on it. */
final class RegionLink implements Link.Owner {
    private final RegionPool pool;
    final RegionPool.Place place;
    final long region;
    double idleSince;
    private Link link;
    private Attempt attempt;

    RegionLink(RegionPool pool, RegionPool.Place place, long region) {
        this.pool = pool;
        this.place = place;
        this.region = region;
    }

    void open(AsynchronousSocketChannel channel) {
        link = new Link(channel, pool.sockets.turns(), this);
        link.readMore();
    }

    void carry(Attempt next, byte[] cargo) {
        attempt = next;
        // From here on it may have run. A write that fails takes this back; a break in between does not.
        next.written = true;
        next.giveUp = this::close;
        link.write(cargo);
    }

    /** Ends the connection from this side: to a region that gives the attempt up. */
    void close() {
        attempt = null;
        if (!link.isClosed()) {
            pool.connections--;
            link.close();
        }
    }

    @Override
    public boolean readable(Link from) {
        Value value;
        try {
            value = from.decoder().value();
        } catch (Malformed e) {
            lose(Api.Outcome.SERVER_ERROR);
            return false;
        }
        if (value == null) { return true; }
        if (attempt == null) {                       // nobody asked: the order of answers is lost
            place.idle.remove(this);
            close();
            return false;
        }
        Attempt ended = attempt;
        attempt = null;
        ended.giveUp = () -> { };
        Attempt.Result result = result(value);
        if (from.decoder().isEmpty()) {
            pool.rest(this);
        } else {
            close();
        }
        pool.end(ended, result);
        return true;
    }

    @Override
    public void ended(Link from) {
        pool.connections--;
        place.idle.remove(this);
        Attempt ended = attempt;
        attempt = null;
        if (ended != null) {
            ended.written = !from.writeFailed();
            pool.end(ended, Attempt.Result.of(ended.written ? Api.Outcome.CONNECTION_LOST : Api.Outcome.CONNECT_FAILED));
        }
    }

    private void lose(Api.Outcome outcome) {
        Attempt ended = attempt;
        place.idle.remove(this);
        close();
        if (ended != null) { pool.end(ended, Attempt.Result.of(outcome)); }
    }

    private Attempt.Result result(Value value) {
        if (value instanceof Value.Many many && many.items() != null && !many.items().isEmpty()
                && many.items().get(0) instanceof Value.Bulk bulk && bulk.bytes() != null) {
            return new Attempt.Result(Api.Outcome.SERVED, bulk.bytes(), load(many.items().get(many.items().size() - 1)));
        }
        if (value instanceof Value.Failure failure) {
            String text = failure.text();
            if (text.equals("BUSY") || text.startsWith("BUSY ")) {
                return new Attempt.Result(Api.Outcome.REJECTED, null, lastWord(text));
            }
            if (text.startsWith("SYNTAX")) { pool.counters.faults++; }
            return new Attempt.Result(Api.Outcome.SERVER_ERROR, null, lastWord(text));
        }
        return Attempt.Result.of(Api.Outcome.SERVER_ERROR);
    }

    private double[] load(Value last) {
        return last instanceof Value.Bulk bulk && bulk.bytes() != null ? load(bulk.text()) : null;
    }

    private double[] lastWord(String text) {
        int space = text.lastIndexOf(' ');
        return space < 0 || text.indexOf('=', space) < 0 ? null : load(text.substring(space + 1));
    }

    /** A report such as {@code inflight=7,queue=2,util=0.61}, in the order of the settings. */
    private double[] load(String text) {
        List<Api.Metric> wanted = pool.report;
        if (wanted.isEmpty()) { return null; }
        double[] load = new double[wanted.size()];
        for (String item : text.split(",")) {
            int is = item.indexOf('=');
            Api.Metric metric = is < 0 ? Api.Metric.OTHER : switch (item.substring(0, is)) {
                case "inflight", "busy_reqs" -> Api.Metric.IN_FLIGHT;
                case "queue", "pending" -> Api.Metric.QUEUE;
                case "util", "cpu_share" -> Api.Metric.CPU;
                case "latency_ms", "svc_ms" -> Api.Metric.SERVICE_MS;
                case "qps", "served_ps" -> Api.Metric.REQUESTS_PER_S;
                case "eps", "failed_ps" -> Api.Metric.ERRORS_PER_S;
                default -> Api.Metric.OTHER;
            };
            int at = metric == Api.Metric.OTHER ? -1 : wanted.indexOf(metric);
            try {
                if (at >= 0) { load[at] = Double.parseDouble(item.substring(is + 1)); }
            } catch (NumberFormatException e) {
                return null;
            }
        }
        return load;
    }
}
