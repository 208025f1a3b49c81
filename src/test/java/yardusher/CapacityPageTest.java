package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import com.ezylang.evalex.EvaluationException;
import com.ezylang.evalex.Expression;
import com.ezylang.evalex.parser.ParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/**
 * docs/CAPACITY.md is consistent: every row has a formula, a source and a mechanism, every formula gives the stated value
 * (within 0.5%, for figures of three digits), and every factor is value over budget (within 5%, for figures of two digits).
 */
class CapacityPageTest {
    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final double VALUE_TOLERANCE = 0.005, FACTOR_TOLERANCE = 0.05;
    private static final List<String> NUMBER_COLUMNS = List.of("name", "number", "unit", "source");
    private static final List<String> ROW_COLUMNS = List.of("role", "quantity", "formula", "value", "unit", "source", "mechanism", "budget", "factor");
    private static final Set<String> ROLES = Set.of("ingress: admission", "ingress: gossip of counts", "ingress: view", "ingress: choice and connections",
            "ingress: discovery's list", "ingress: configuration", "ingress: all control", "agents", "owners' register", "leader", "journal", "discovery", "the 9 machines",
            "failure: machines", "failure: rack", "failure: zone", "failure: regions apart");
    private static final Pattern CLASS = Pattern.compile("`(yardusher(?:\\.[a-z]+)*\\.[A-Z]\\w*)`"), CODE = Pattern.compile("`([^`]+)`"),
            FILE = Pattern.compile("docs/[\\w/.-]+\\.(?:md|jsonl)"), NAME = Pattern.compile("[a-z]\\w*"),
            COUNTS = Pattern.compile("(\\d+) rows: (\\d+) measured, (\\d+) worked out, (\\d+) assumed");

    /** The parsed page, with a list of its faults. */
    private static final class Page {
        final List<String> faults = new ArrayList<>();
        final Map<String, Map<String, String>> numbers = new LinkedHashMap<>();
        final List<Map<String, String>> rows = new ArrayList<>();
        private final Set<String> used = new HashSet<>();

        Page(String text) {
            List<String> columns = null;
            for (String line : text.lines().toList()) {
                if (!line.startsWith("|")) {
                    columns = null;
                    continue;
                }
                List<String> cells = Arrays.stream(line.strip().replaceAll("^\\||\\|$", "").split("\\|", -1)).map(String::strip).toList();
                if (columns == null) {
                    columns = cells;
                } else if (!cells.get(0).startsWith("---") && (columns.equals(NUMBER_COLUMNS) || columns.equals(ROW_COLUMNS))) {
                    addRow(columns, cells, line);
                }
            }
            numbers.forEach((name, number) -> {
                check(number(number.get("number")) != null, name, "needs a number");
                check(number.get("source").startsWith("given:") || hasSource(number.get("source")), name, "needs its source");
            });
            rows.forEach(this::checkRow);
            for (String name : numbers.keySet()) { check(used.contains(name), name, "is not used"); }
            Set<String> roles = new HashSet<>(ROLES);
            rows.forEach(row -> roles.remove(row.get("role")));
            check(roles.isEmpty(), "the page", "has no row for " + roles);
            Matcher counts = COUNTS.matcher(text);
            check(counts.find() && counts.group().equals(counts()), "the page", "should say " + counts());
        }

        private void addRow(List<String> columns, List<String> cells, String line) {
            if (cells.size() != columns.size()) {
                faults.add(line + ": has " + cells.size() + " cells of " + columns.size());
                return;
            }
            Map<String, String> row = new LinkedHashMap<>();
            for (int i = 0; i < columns.size(); i++) { row.put(columns.get(i), cells.get(i)); }
            if (columns.equals(ROW_COLUMNS)) {
                rows.add(row);
            } else {
                check(numbers.put(cells.get(0), row) == null, cells.get(0), "is defined twice");
            }
        }

        private void check(boolean good, String what, String fault) {
            if (!good) { faults.add(what + ": " + fault); }
        }

        String counts() {
            long[] of = {0, 0, 0};
            for (Map<String, String> row : rows) { of[row.get("source").startsWith("measured:") ? 0 : row.get("source").startsWith("worked out from:") ? 1 : 2]++; }
            return rows.size() + " rows: " + of[0] + " measured, " + of[1] + " worked out, " + of[2] + " assumed";
        }

        /** Whether a source is valid: a measured one names a command or an existing page of measurements. */
        private static boolean hasSource(String source) {
            for (Matcher files = FILE.matcher(source); files.find();) {
                if (!Files.exists(Path.of(files.group()))) { return false; }
            }
            boolean shown = CODE.matcher(source).find() || FILE.matcher(source).find();
            return source.matches("(worked out from|assumed): \\S.{3,}") || source.startsWith("measured: ") && shown;
        }

        private void checkRow(Map<String, String> row) {
            String what = row.get("role") + ", " + row.get("quantity");
            check(ROLES.contains(row.get("role")) && !row.get("quantity").isEmpty() && !row.get("unit").isEmpty(), what, "needs role, quantity and unit");
            check(hasSource(row.get("source")), what, "needs its source");
            checkMechanism(row.get("mechanism"), what);
            Double value = number(row.get("value"));
            check(value != null, what, "needs a value");
            Double computed = evaluate(row.get("formula"), what);
            check(computed == null || value == null || near(computed, value, VALUE_TOLERANCE), what, "the formula gives " + computed);
            for (String name : row.get("source").startsWith("assumed:") ? List.<String>of() : names(row.get("formula"))) {
                String source = numbers.getOrDefault(name, Map.of("source", "")).get("source");
                boolean firm = source.startsWith("measured:") || source.startsWith("given:");
                check(firm, what, "is marked as " + row.get("source").replaceFirst(":.*", "") + " but depends on " + name);
            }
            if (row.get("budget").equals("-") && row.get("factor").equals("-")) { return; }
            Double budget = evaluate(row.get("budget"), what + ", budget");
            Double factor = number(row.get("factor"));
            check(factor != null, what, "needs a factor");
            check(budget == null || value == null || factor == null || near(value / budget, factor, FACTOR_TOLERANCE), what,
                    "value over budget is " + (value == null || budget == null ? "unknown" : value / budget));
        }

        private void checkMechanism(String text, String what) {
            Matcher classes = CLASS.matcher(text);
            boolean named = text.matches("none\\b.*");
            while (classes.find()) {
                named = true;
                Path source = Path.of("src/main/java/" + classes.group(1).replace('.', '/') + ".java");
                check(Files.exists(source), what, "no class " + classes.group(1));
            }
            check(named, what, "needs its mechanism, or \"none\"");
        }

        private static List<String> names(String formula) { return NAME.matcher(formula).results().map(found -> found.group()).toList(); }

        private Double evaluate(String cell, String what) {
            Matcher code = CODE.matcher(cell);
            if (!code.matches()) {
                faults.add(what + ": needs a formula in backquotes");
                return null;
            }
            try {
                Expression expression = new Expression(code.group(1));
                for (String name : names(code.group(1))) {
                    Double number = numbers.containsKey(name) ? number(numbers.get(name).get("number")) : null;
                    if (number == null) { throw new IllegalArgumentException("unknown name " + name); }
                    used.add(name);
                    expression.with(name, number);
                }
                return expression.evaluate().getNumberValue().doubleValue();
            } catch (EvaluationException | ParseException | RuntimeException e) {
                faults.add(what + ": " + e.getMessage());
                return null;
            }
        }

        private static boolean near(double one, double other, double part) { return Math.abs(one - other) <= part * Math.abs(one) + 1e-12; }

        private static Double number(String cell) {
            return cell.matches("-?\\d[\\d,]*(\\.\\d+)?(e-?\\d+)?") ? Double.valueOf(cell.replace(",", "")) : null;
        }
    }

    private static String page() throws IOException { return Files.readString(PAGE); }

    @Test
    void everyRowHasItsFormulaSourceAndMechanismAndItsNumbersAreRight() throws IOException {
        assertThat(new Page(page()).faults).isEmpty();
    }

    /** Each row of the page is corrupted in each way, one at a time: the check detects every one. */
    @Test
    void aCorruptedRowIsDetected() throws IOException {
        String good = page();
        List<String> lines = good.lines().toList();
        Map<Integer, UnaryOperator<String>> spoils = Map.of(
                2, cell -> "", 3, cell -> scaled(cell, 1.02), 5, cell -> "seen", 6, cell -> "", 8, cell -> cell.equals("-") ? "2" : scaled(cell, 1.2), 1, cell -> "");
        int rows = 0;
        for (int i = 0; i < lines.size(); i++) {
            String[] cells = lines.get(i).split("\\|", -1);
            if (cells.length != ROW_COLUMNS.size() + 2 || cells[1].contains("---") || cells[1].strip().equals("role")) { continue; }
            rows++;
            for (Map.Entry<Integer, UnaryOperator<String>> spoil : spoils.entrySet()) {
                String[] changed = cells.clone();
                changed[spoil.getKey() + 1] = spoil.getValue().apply(changed[spoil.getKey() + 1].strip());
                List<String> page = new ArrayList<>(lines);
                page.set(i, String.join("|", changed));
                assertThat(new Page(String.join("\n", page)).faults).as("column %s of %s", ROW_COLUMNS.get(spoil.getKey()), lines.get(i)).isNotEmpty();
            }
        }
        assertThat(rows).isEqualTo(new Page(good).rows.size()).isGreaterThan(ROLES.size());
    }

    private static String scaled(String number, double factor) { return String.valueOf(Double.parseDouble(number.replace(",", "")) * factor + 1e-6); }

    /** The message of each kind of fault, one at a time on a small page. */
    @Test
    void eachKindOfFaultIsReported() {
        String head = "| name | number | unit | source |\n| --- | --- | --- | --- |\n| a | 3 | B | given: issue 33 |\n| b | 4 | B | given: for the test |\n\n";
        String table = "| role | quantity | formula | value | unit | source | mechanism | budget | factor |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
        String row = "| journal | bytes | `a * b` | 12 | B | worked out from: a and b | `yardusher.Gossip` | `a + 1` | 3.0 |\n";
        assertThat(faults(head + table + row)).isEmpty();
        assertThat(faults(head + table + row.replace("12", "12.1"))).containsExactly("journal, bytes: the formula gives 12.0");
        assertThat(faults(head + table + row.replace("3.0", "3.4"))).containsExactly("journal, bytes: value over budget is 3.0");
        assertThat(faults(head + table + row.replace("Gossip", "Gossips"))).containsExactly("journal, bytes: no class yardusher.Gossips");
        assertThat(faults(head + table + row.replace("`yardusher.Gossip`", "the gossip"))).containsExactly("journal, bytes: needs its mechanism, or \"none\"");
        assertThat(faults(head + table + row.replace("`a * b`", "a * b"))).contains("journal, bytes: needs a formula in backquotes");
        assertThat(faults(head + table + row.replace("a * b", "a * c"))).contains("journal, bytes: unknown name c");
        String guessed = head.replace("given: for", "assumed: for");
        assertThat(faults(guessed + table + row.replace("worked out from: a and b", "measured: `run`"))).containsExactly("journal, bytes: is marked as measured but depends on b");
        assertThat(faults(guessed + table + row)).containsExactly("journal, bytes: is marked as worked out from but depends on b");
        assertThat(faults(guessed + table + row.replace("worked out from: a and b", "assumed: b is a guess"))).isEmpty();
        assertThat(faults(head + table + row.replace("worked out from: a and b", "measured: docs/measurements/none.md"))).contains("journal, bytes: needs its source");
        assertThat(faults(head.replace("given: for the test", "guess") + table + row)).containsExactly("b: needs its source", "journal, bytes: is marked as worked out from but depends on b");
        assertThat(faults(head.replace("| 4 |", "| many |") + table + row)).contains("b: needs a number");
        assertThat(faults(head.replace("\n\n", "\n| a | 3 | B | given: again |\n\n") + table + row)).containsExactly("a: is defined twice");
        assertThat(faults(head.replace("\n\n", "\n| c | 3 | B | given: issue 33 |\n\n") + table + row)).containsExactly("c: is not used");
        assertThat(faults(head + table + row.replace(" | 3.0 |", " |"))).anyMatch(fault -> fault.endsWith("has 8 cells of 9"));
        assertThat(new Page(head + table + row).faults).anyMatch(fault -> fault.startsWith("the page: has no row for")).contains("the page: should say 1 rows: 0 measured, 1 worked out, 0 assumed");
    }

    /** The faults except those of the page as a whole. */
    private static List<String> faults(String text) { return new Page(text).faults.stream().filter(fault -> !fault.startsWith("the page:")).toList(); }
}
