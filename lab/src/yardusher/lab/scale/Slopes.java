package yardusher.lab.scale;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.linear.SingularMatrixException;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * How a figure grows with a size: least squares, and the same of the logarithms. The rule for the verdict, each bound at 99%
 * by Student's t:
 * <ul>
 * <li>not told: fewer than three sizes, or the largest is less than twice the smallest above 0, or none of the rules below holds;</li>
 * <li>flat: over all that was swept the line rises or falls by no more than {@link #FLAT} of the figure's mean, at either bound of its slope;</li>
 * <li>worse than straight: it rises, and a square term is above 0 at both bounds and bends the middle down from the chord by more
 * than {@link #BENT} of the rise;</li>
 * <li>straight: the slope has one sign at both bounds. What flattens (an exponent below 1) is called straight too, which is a bound from above.</li>
 * </ul>
 */
final class Slopes {
    static final double FLAT = 0.25, BENT = 0.04, WITHIN = 0.2;
    /** Sizes wanted; fewer are said. */
    static final int WANTED = 5;
    private static final double LEVEL = 0.99;
    private static final int LEAST_SIZES = 3;
    private static final double LEAST_RANGE = 2;
    private static final double EXACT = 1e-9;        // of a figure's largest: what is nearer is rounding

    enum Verdict {
        FLAT("flat"), STRAIGHT("straight"), WORSE("worse than straight"), NOT_TOLD("not told by these runs");

        final String text;

        Verdict(String text) { this.text = text; }
    }

    record Point(double size, double figure) { }

    /**
     * What points tell; NaN where they do not.
     *
     * @param slope of the figure a unit of the size, with its standard error
     * @param exponent of the fit of the logarithms, with its standard error; of points above 0 alone
     * @param foretold the largest size's figure, from all smaller ones: by a line or a power, whichever lies nearer to them
     * @param seen its mean there
     */
    record Fit(int sizes, int points, double intercept, double slope, double slopeError, double exponent, double exponentError, Verdict verdict,
            double foretold, double seen) {
        /** By what part the foretold figure is off; NaN where nothing was foretold. */
        double off() { return foretold == seen ? 0 : Math.abs(foretold - seen) / Math.abs(seen); }

        /** Whether what the smaller sizes foretell is within {@link #WITHIN} of what the largest showed. */
        boolean held() { return off() <= WITHIN; }
    }

    /**
     * A figure over a size that was swept on one day, the others held.
     *
     * @param held the other sizes; {@code rate/ingresses} in place of rate where that was held
     * @param leftOut runs that were partial or saturated
     */
    record Sweep(String day, String figure, String size, String held, int leftOut, Fit fit) { }

    private Slopes() { }

    /** All sweeps of at least two sizes over these runs, of each figure that was measured. */
    static List<Sweep> of(List<RunLines.Run> runs, List<String> sizes) {
        List<Sweep> sweeps = new ArrayList<>();
        for (String size : sizes) {
            Map<String, List<RunLines.Run>> groups = new TreeMap<>();
            for (RunLines.Run run : runs) {
                if (!run.sizes().containsKey(size)) { continue; }
                groups.computeIfAbsent(key(run, size, false), key -> new ArrayList<>()).add(run);
                if (size.equals("ingresses") && run.sizes().containsKey("rate")) { groups.computeIfAbsent(key(run, size, true), key -> new ArrayList<>()).add(run); }
            }
            groups.forEach((key, group) -> sweep(size, key, group, sweeps));
        }
        return sweeps;
    }

    private static String key(RunLines.Run run, String swept, boolean ofEach) {
        StringBuilder key = new StringBuilder(run.day()).append('\t');
        Map<String, Double> held = new TreeMap<>(run.sizes());
        held.remove(swept);
        if (ofEach && held.containsKey("rate")) { held.put("rate/ingresses", Math.rint(held.remove("rate") / run.sizes().get("ingresses"))); }
        held.forEach((name, value) -> key.append(key.charAt(key.length() - 1) == '\t' ? "" : ", ").append(name).append(' ').append(SlopesTable.number(value)));
        return key.toString();
    }

    private static void sweep(String size, String key, List<RunLines.Run> group, List<Sweep> sweeps) {
        TreeSet<String> figures = new TreeSet<>();
        group.forEach(run -> figures.addAll(run.figures().keySet()));
        for (String figure : figures) {
            List<Point> points = group.stream().filter(run -> run.whole() && run.figures().containsKey(figure))
                    .map(run -> new Point(run.sizes().get(size), run.figures().get(figure))).toList();
            if (points.stream().mapToDouble(Point::size).distinct().count() < 2) { continue; }
            int leftOut = (int) group.stream().filter(run -> !run.whole() && run.figures().containsKey(figure)).count();
            String[] parts = key.split("\t", 2);
            sweeps.add(new Sweep(parts[0], figure, size, parts[1], leftOut, fit(points)));
        }
    }

    static Fit fit(Collection<Point> points) {
        SimpleRegression line = line(points);
        SimpleRegression power = power(points);
        TreeSet<Double> sizes = new TreeSet<>();
        points.forEach(point -> sizes.add(point.size()));
        double largest = sizes.last();
        List<Point> smaller = points.stream().filter(point -> point.size() < largest).toList();
        double seen = points.stream().filter(point -> point.size() == largest).mapToDouble(Point::figure).average().orElse(Double.NaN);
        return new Fit(sizes.size(), points.size(), line.getIntercept(), line.getSlope(), line.getSlopeStdErr(), power.getSlope(), power.getSlopeStdErr(),
                verdict(points, sizes, line), sizes.size() < LEAST_SIZES ? Double.NaN : foretell(smaller, largest), seen);
    }

    private static SimpleRegression line(Collection<Point> points) {
        SimpleRegression line = new SimpleRegression();
        points.forEach(point -> line.addData(point.size(), point.figure()));
        return line;
    }

    private static SimpleRegression power(Collection<Point> points) {
        SimpleRegression power = new SimpleRegression();
        points.stream().filter(point -> point.size() > 0 && point.figure() > 0).forEach(point -> power.addData(Math.log(point.size()), Math.log(point.figure())));
        return power;
    }

    private static Verdict verdict(Collection<Point> points, TreeSet<Double> sizes, SimpleRegression line) {
        Double least = sizes.higher(0.0);
        if (sizes.size() < LEAST_SIZES || least == null || sizes.last() < LEAST_RANGE * least) { return Verdict.NOT_TOLD; }
        double mean = Math.abs(points.stream().mapToDouble(Point::figure).average().orElse(0));
        double exact = EXACT * points.stream().mapToDouble(point -> Math.abs(point.figure())).max().orElse(0);
        double range = sizes.last() - sizes.first();
        double rise = line.getSlope() * range;
        double doubt = bound(line.getSlopeStdErr(), points.size() - 2) * range;
        if (Math.abs(rise) + doubt <= FLAT * mean + exact) { return Verdict.FLAT; }
        if (rise > 0 && bends(points, range, rise, exact)) { return Verdict.WORSE; }
        return Math.abs(rise) > doubt + exact ? Verdict.STRAIGHT : Verdict.NOT_TOLD;
    }

    private static double bound(double error, int free) {
        if (free < 1) { return Double.POSITIVE_INFINITY; }
        return new TDistribution(free).inverseCumulativeProbability((1 + LEVEL) / 2) * error;
    }

    private static boolean bends(Collection<Point> points, double range, double rise, double exact) {
        if (points.size() < 4) { return false; }
        double from = points.stream().mapToDouble(Point::size).min().orElseThrow();
        OLSMultipleLinearRegression square = new OLSMultipleLinearRegression();
        double[][] x = points.stream().map(point -> (point.size() - from) / range).map(at -> new double[] {at, at * at}).toArray(double[][]::new);
        square.newSampleData(points.stream().mapToDouble(Point::figure).toArray(), x);
        try {
            double bend = square.estimateRegressionParameters()[2];
            double doubt = bound(square.estimateRegressionParametersStandardErrors()[2], points.size() - 3);
            return bend > doubt + exact && bend / 4 > BENT * rise;
        } catch (SingularMatrixException e) {
            return false;                            // three sizes need three that differ
        }
    }

    /** Of what was seen at smaller sizes: a line or a power, whichever lies nearer to them, the line where both do. */
    private static double foretell(List<Point> smaller, double at) {
        SimpleRegression line = line(smaller);
        SimpleRegression power = power(smaller);
        boolean powers = power.getN() == smaller.size() && Double.isFinite(power.getSlope());
        double byLine = 0, byPower = 0;
        for (Point point : smaller) {
            byLine += Math.pow(line.predict(point.size()) - point.figure(), 2);
            byPower += powers ? Math.pow(Math.exp(power.predict(Math.log(point.size()))) - point.figure(), 2) : Double.POSITIVE_INFINITY;
        }
        return byPower < byLine * (1 - EXACT) ? Math.exp(power.predict(Math.log(at))) : line.predict(at);
    }
}
