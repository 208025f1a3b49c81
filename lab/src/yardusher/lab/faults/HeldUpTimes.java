package yardusher.lab.faults;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Times in which a process could not run: it was paused by the lab, or the machine was short of processor time. */
public final class HeldUpTimes {
    private static final int ALL = -1;

    private record Interval(int ingress, double fromMs, double toMs) { }

    private final List<Interval> intervals = new CopyOnWriteArrayList<>();

    /** One ingress did not run between these times. */
    public void add(int ingress, double fromMs, double toMs) { intervals.add(new Interval(ingress, fromMs, toMs)); }

    /** The machine did not run the lab between these times. */
    public void addForAll(double fromMs, double toMs) { add(ALL, fromMs, toMs); }

    /** For how long an ingress could not run between two times, in milliseconds. */
    public double between(int ingress, double fromMs, double toMs) {
        double sum = 0;
        for (Interval interval : intervals) {
            if (interval.ingress() != ALL && interval.ingress() != ingress) { continue; }
            sum += Math.max(0, Math.min(toMs, interval.toMs()) - Math.max(fromMs, interval.fromMs()));
        }
        return sum;
    }
}
