package yardusher.servers;

import java.nio.channels.AsynchronousSocketChannel;
import java.util.Arrays;
import java.util.List;
import yardusher.Api;
import yardusher.core.Attempt;
import yardusher.core.Deadlines;
import yardusher.net.Link;
import yardusher.resp.Malformed;
import yardusher.resp.Value;

/** One connection to a region, with at most one attempt on it. */
final class RegionLink implements Link.Owner {
    private final RegionPool pool;
    final RegionPool.Place place;
    final long region;
    double idleSince;
    /** An answer that has begun is whole soon after; one that is not has a length that does not fit. */
    private static final double WHOLE_MS = 300;

    private Link link;
    private Attempt attempt;
    private Deadlines.Entry wholeBy;
    private boolean used;
    private boolean kept;                            // the attempt found it used by one before

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
        kept = used;
        used = true;
        // From here on it may have run. A write that fails takes this back; a break in between does not.
        next.written = true;
        next.giveUp = this::close;
        link.write(cargo);
    }

    /** Ends the connection from this side: to a region that gives the attempt up. */
    void close() {
        attempt = null;
        pool.sockets.turns().deadlines().cancel(wholeBy);
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
            spoilt();
            return false;
        }
        if (value == null) {
            // Guards against an answer that never ends: its attempt would hold out till its deadline.
            if (attempt != null && wholeBy == null && !from.decoder().isEmpty()) {
                Deadlines deadlines = pool.sockets.turns().deadlines();
                wholeBy = deadlines.at(pool.sockets.turns().now() + WHOLE_MS, this::spoilt);
            }
            return true;
        }
        pool.sockets.turns().deadlines().cancel(wholeBy);
        wholeBy = null;
        Attempt.Result result = attempt == null ? null : result(value);
        if (result == null) {                        // nobody asked, or not what this protocol answers
            spoilt();
            return false;
        }
        Attempt ended = attempt;
        attempt = null;
        ended.giveUp = () -> { };
        pool.noteLost(kept, false);
        if (from.decoder().isEmpty()) {
            pool.rest(this);
        } else {
            close();                                 // the answer stands; what is behind it is no one's
        }
        pool.end(ended, result);
        return true;
    }

    @Override
    public void written(Link from) {
        if (attempt != null) { pool.written(attempt); }
    }

    @Override
    public void ended(Link from) {
        pool.connections--;
        place.idle.remove(this);
        pool.sockets.turns().deadlines().cancel(wholeBy);
        Attempt ended = attempt;
        attempt = null;
        if (ended != null) {
            pool.noteLost(kept, true);
            ended.written = !from.writeFailed();
            pool.end(ended, Attempt.Result.of(ended.written ? Api.Outcome.CONNECTION_LOST : Api.Outcome.CONNECT_FAILED));
        }
    }

    /** The attempt may have run and its answer is lost; what comes here next belongs to nobody. */
    private void spoilt() {
        Attempt ended = attempt;
        place.idle.remove(this);
        close();
        if (ended != null) { pool.end(ended, Attempt.Result.of(Api.Outcome.SERVER_ERROR)); }
    }

    /**
     * What an answer means, or null for one of no known form. Guards against serving what was not made for the
     * request, and against taking a spoilt line for a region's word that it never ran.
     */
    private Attempt.Result result(Value value) {
        if (value instanceof Value.Many many && many.items() != null && many.items().size() == 3
                && many.items().get(0) instanceof Value.Bulk bulk && bulk.bytes() != null) {
            return new Attempt.Result(Api.Outcome.SERVED, bulk.bytes(), load(many.items().get(2)));
        }
        if (!(value instanceof Value.Failure failure)) { return null; }
        String text = failure.text();
        int last = text.lastIndexOf(' ');
        boolean reports = last > 0 && text.indexOf('=', last) > 0;
        double[] load = reports ? load(text.substring(last + 1)) : null;
        switch (reports ? text.substring(0, last) : text) {
            case "BUSY" -> { return new Attempt.Result(Api.Outcome.REJECTED, null, load); }
            case "ERR failed" -> { return new Attempt.Result(Api.Outcome.SERVER_ERROR, null, load); }
            default -> {
                if (text.startsWith("SYNTAX")) { pool.counters.faults++; }
                return null;
            }
        }
    }

    private double[] load(Value last) {
        return last instanceof Value.Bulk bulk && bulk.bytes() != null ? load(bulk.text()) : null;
    }

    /**
     * A report such as {@code inflight=7,queue=2,util=0.61}, in the order of the settings; null for one that cannot
     * be read. Guards against a region that looks idle because a figure is missing or no number.
     */
    private double[] load(String text) {
        List<Api.Metric> wanted = pool.report;
        if (wanted.isEmpty() || text.length() > 512) { return null; }
        double[] load = new double[wanted.size()];
        Arrays.fill(load, -1);
        for (String item : text.split(",", -1)) {
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
            String figure = item.substring(is + 1);
            int at = metric == Api.Metric.OTHER ? -1 : wanted.indexOf(metric);
            if (is < 0 || !figure.matches("[0-9]{1,9}(\\.[0-9]{1,9})?") || at >= 0 && load[at] >= 0) { return null; }
            if (at >= 0) { load[at] = Double.parseDouble(figure); }
        }
        for (int i = 0; i < load.length; i++) {
            if (load[i] < 0 && wanted.get(i) != Api.Metric.OTHER) { return null; }
            load[i] = Math.max(0, load[i]);
        }
        return load;
    }
}
