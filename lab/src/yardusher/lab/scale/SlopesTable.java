package yardusher.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * {@code SlopesTable FILE ...}: a Markdown table of how each figure grows with each size that was swept. Bad lines are told on
 * standard error, and then the exit is 2.
 */
public final class SlopesTable {
    static final List<String> SIZES = List.of("ingresses", "backends", "tenants", "changes_per_min", "rate");

    private SlopesTable() { }

    public static void main(String[] args) {
        if (args.length == 0) {
            System.err.println("SlopesTable FILE ...: files of JSON lines, one a run");
            System.exit(2);
        }
        List<RunLines.Run> runs = new ArrayList<>();
        List<String> bad = new ArrayList<>();
        for (String file : args) {
            try {
                RunLines.Read read = RunLines.read(file, Files.readAllLines(Path.of(file)));
                runs.addAll(read.runs());
                bad.addAll(read.bad());
            } catch (IOException e) {
                bad.add(file + ": cannot be read: " + e.getMessage());
            }
        }
        System.out.print(table(runs));
        bad.forEach(System.err::println);
        if (!bad.isEmpty()) { System.exit(2); }
    }

    /** The table, and below it the runs that were fitted and those left out. */
    static String table(List<RunLines.Run> runs) {
        StringBuilder table = new StringBuilder("""
                | day | figure | size | from the others held | sizes, runs, left out | slope | exponent | verdict | largest foretold, seen | within 20% |
                | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
                """);
        for (Slopes.Sweep sweep : Slopes.of(runs, SIZES)) {
            Slopes.Fit fit = sweep.fit();
            String few = fit.sizes() < Slopes.WANTED ? " (fewer than " + Slopes.WANTED + " sizes)" : "";
            table.append(String.join(" | ", "| " + sweep.day(), sweep.figure(), sweep.size(), sweep.held(),
                    fit.sizes() + ", " + fit.points() + ", " + sweep.leftOut(), spread(fit.slope(), fit.slopeError()),
                    spread(fit.exponent(), fit.exponentError()), fit.verdict().text + few, number(fit.foretold()) + ", " + number(fit.seen()),
                    Double.isNaN(fit.off()) ? "not foretold" : fit.held() ? "yes" + percent(fit.off()) : "no" + percent(fit.off()))).append(" |\n");
        }
        long left = runs.stream().filter(run -> !run.whole()).count();
        return table.append('\n').append(runs.size() - left).append(" runs; ").append(left).append(" more were partial or saturated and are left out.\n").toString();
    }

    private static String percent(double part) { return Double.isInfinite(part) ? " (0 seen)" : String.format(Locale.ROOT, " (%.0f%%)", 100 * part); }

    private static String spread(double value, double error) { return number(value) + " +- " + number(error); }

    /** Four figures, with no power of ten for what is read more easily without. */
    static String number(double value) {
        if (Double.isNaN(value)) { return "-"; }
        if (Double.isInfinite(value) || value == 0) { return value == 0 ? "0" : String.valueOf(value); }
        if (value == Math.rint(value) && Math.abs(value) < 1e9) { return String.format(Locale.ROOT, "%.0f", value); }
        double size = Math.abs(value);
        int digits = Math.max(0, 3 - (int) Math.floor(Math.log10(size)));
        return size < 1e-4 || size >= 1e9 ? String.format(Locale.ROOT, "%.3e", value) : String.format(Locale.ROOT, "%." + digits + "f", value);
    }
}
