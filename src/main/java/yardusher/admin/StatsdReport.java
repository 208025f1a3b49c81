package yardusher.admin;

import java.util.List;
import yardusher.core.Counters;

/** The figures as the second address tells them: StatsD lines, counts since this process started, and gauges. */
public final class StatsdReport {
    private StatsdReport() { }

    /**
     * A line for each figure, every line ended. {@code outstanding}: transactions taken and not ended; {@code listed}:
     * regions of the service table; {@code avoided}: those of them that get no attempts now.
     */
    public static String lines(Counters counters, List<String> classes, int outstanding, int listed, int avoided) {
        StringBuilder out = new StringBuilder(512);
        for (int k = 0; k < classes.size(); k++) {
            count(out, "succeeded." + classes.get(k), counters.served[k]);
            count(out, "declined." + classes.get(k), counters.refused[k]);
            count(out, "aborted." + classes.get(k), counters.failed[k]);
        }
        count(out, "forwards", counters.forwards);
        gauge(out, "outstanding", outstanding);
        gauge(out, "discovered", listed);
        gauge(out, "ejected", avoided);
        return out.toString();
    }

    private static void count(StringBuilder out, String name, long value) { line(out, name, value, "c"); }

    private static void gauge(StringBuilder out, String name, long value) { line(out, name, value, "g"); }

    private static void line(StringBuilder out, String name, long value, String kind) {
        out.append("app.").append(name).append(':').append(value).append('|').append(kind).append('\n');
    }
}
