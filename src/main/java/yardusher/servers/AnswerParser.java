package yardusher.servers;

import java.util.Arrays;
import java.util.List;
import yardusher.Api;
import yardusher.core.Attempt;
import yardusher.core.Counters;
import yardusher.resp.Value;

/** Interprets the answers of backends by the platform's protocol. */
final class AnswerParser {
    /** An answer that serves a request: the value, the figures on use, the load report. */
    static final int ANSWER_ITEMS = 3;
    private static final int MAX_REPORT_CHARS = 512;

    private final List<Api.Metric> report;
    private final Counters counters;

    /** {@code report}: the figures of a load report, in the order of the settings. */
    AnswerParser(List<Api.Metric> report, Counters counters) {
        this.report = report;
        this.counters = counters;
    }

    /**
     * Interprets a response; null if its form is unknown. Guards against serving a value that does not belong to the
     * request, and against taking a corrupted line for the backend's statement that the attempt never ran.
     */
    Attempt.Result parse(Value value) {
        if (value instanceof Value.ArrayValue many && many.items() != null && many.items().size() == ANSWER_ITEMS
                && many.items().get(0) instanceof Value.BulkString bulk && bulk.bytes() != null) {
            return new Attempt.Result(Api.Outcome.SERVED, bulk.bytes(), parseLoad(many.items().get(2)));
        }
        if (!(value instanceof Value.ErrorReply failure)) { return null; }
        String text = failure.text();
        int last = text.lastIndexOf(' ');
        boolean reports = last > 0 && text.indexOf('=', last) > 0;
        double[] load = reports ? parseLoad(text.substring(last + 1)) : null;
        switch (reports ? text.substring(0, last) : text) {
            case "BUSY" -> { return new Attempt.Result(Api.Outcome.REJECTED, null, load); }
            case "ERR failed" -> { return new Attempt.Result(Api.Outcome.SERVER_ERROR, null, load); }
            default -> {
                if (text.startsWith("SYNTAX")) { counters.faults++; }
                return null;
            }
        }
    }

    /** The load report in the last item of an answer; null if there is none, or it is malformed. */
    double[] parseLoad(Value last) {
        return last instanceof Value.BulkString bulk && bulk.bytes() != null ? parseLoad(bulk.text()) : null;
    }

    /**
     * Parses a load report such as {@code inflight=7,queue=2,util=0.61} into the order of the settings; null if it is
     * malformed. Guards against a backend that looks idle because a figure is missing or not a number.
     */
    private double[] parseLoad(String text) {
        List<Api.Metric> wanted = report;
        if (wanted.isEmpty() || text.length() > MAX_REPORT_CHARS) { return null; }
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
