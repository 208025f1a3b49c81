package yardusher.error;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Constructor;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Every error type is listed in the operators' table and carries what an operator needs. */
class ErrorTableTest {
    /** All concrete types, found through the sealed hierarchy. */
    private static List<Class<?>> types(Class<?> of) {
        if (!of.isSealed()) { return List.of(of); }
        return Arrays.stream(of.getPermittedSubclasses()).flatMap(one -> types(one).stream()).toList();
    }

    /** Creates an instance by the longest constructor. */
    private static YardusherError sample(Class<?> type) throws ReflectiveOperationException {
        Constructor<?> constructor = Arrays.stream(type.getDeclaredConstructors())
                .max(Comparator.comparingInt(Constructor::getParameterCount)).orElseThrow();
        Object[] values = Arrays.stream(constructor.getParameterTypes()).map(kind -> kind == int.class ? (Object) 7 : kind == long.class
                ? (Object) 7L : kind == Throwable.class ? new IllegalStateException("below") : "made\nup").toArray();
        return (YardusherError) constructor.newInstance(values);
    }

    /** The table row of an error without its free text: code, type, exit code, fields, advice. */
    private static String row(YardusherError one) {
        Object[] fields = one.fields();
        String names = IntStream.range(1, fields.length / 2).mapToObj(i -> String.valueOf(fields[2 * i])).collect(Collectors.joining(", "));
        return String.join(" | ", "`" + one.code() + "`", one.getClass().getEnclosingClass().getSimpleName() + "." + one.getClass().getSimpleName(),
                String.valueOf(one.exitCode()), names.isEmpty() ? "-" : names, one.advice());
    }

    /** The table's rows by code, in the same form; the third column is free text that must be present. */
    private static Map<String, String> table(String markdown) {
        Map<String, String> rows = new LinkedHashMap<>();
        for (String line : markdown.lines().filter(one -> one.matches("\\| `[A-Z_]+` \\|.*")).toList()) {
            String[] cells = line.substring(1, line.length() - 1).split("\\|");
            assertThat(cells).as(line).hasSize(6);
            assertThat(cells[2].strip()).as(line).isNotEmpty();
            String row = String.join(" | ", cells[0].strip(), cells[1].strip(), cells[3].strip(), cells[4].strip(), cells[5].strip());
            assertThat(rows.put(cells[0].strip(), row)).as("duplicate: " + line).isNull();
        }
        return rows;
    }

    /** The differences between a table and the types; empty if there are none. */
    private static List<String> wrong(String markdown) throws ReflectiveOperationException {
        Map<String, String> rows = table(markdown);
        List<String> wrong = new ArrayList<>();
        for (Class<?> type : types(YardusherError.class)) {
            String due = row(sample(type));
            if (!due.equals(rows.remove(due.substring(0, due.indexOf(' '))))) { wrong.add("due: " + due); }
        }
        rows.values().forEach(row -> wrong.add("of no type: " + row));
        return wrong;
    }

    private static String page() throws Exception { return Files.readString(Path.of("docs/errors.md")); }

    @Test
    void tableListsExactlyTheErrorTypes() throws Exception { assertThat(wrong(page())).isEmpty(); }

    @Test
    void removedChangedOrInventedLineIsDetected() throws Exception {
        String line = page().lines().filter(one -> one.startsWith("| `CONFIG_VALUE`")).findFirst().orElseThrow();
        assertThat(wrong(page().replace(line + "\n", ""))).hasSize(1);
        assertThat(wrong(page().replace(line, line.replace("| 2 |", "| 1 |")))).hasSize(1);
        assertThat(wrong(page() + line.replace("CONFIG_VALUE", "CONFIG_OTHER") + "\n")).hasSize(1);
    }

    @Test
    void everyTypeHasAdviceACodeAndOneLine() throws Exception {
        List<Class<?>> types = types(YardusherError.class);
        assertThat(types).hasSizeGreaterThan(30);
        List<String> codes = new ArrayList<>();
        for (Class<?> type : types) {
            assertThat(Modifier.isFinal(type.getModifiers())).as(type.getName()).isTrue();
            YardusherError one = sample(type);
            one.in("there\nor");
            assertThat(one.advice()).as(type.getName()).matches("[A-Z][ -~]{20,}\\.");
            assertThat(one.code()).as(type.getName()).matches("[A-Z]+(_[A-Z]+)+");
            assertThat(one.getMessage()).as(type.getName()).isNotBlank().doesNotContain("\n");
            assertThat(one.exitCode()).isIn(YardusherError.FAILED, YardusherError.BAD_INPUT);
            assertThat(one.fields().length % 2).isZero();
            codes.add(one.code());
        }
        assertThat(codes).doesNotHaveDuplicates();
    }

    @Test
    void everyTypeIsUsedSomewhere() throws Exception {
        StringBuilder sources = new StringBuilder();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            for (Path file : files.filter(one -> one.toString().endsWith(".java")).toList()) { sources.append(Files.readString(file)); }
        }
        assertThat(types(YardusherError.class)).allMatch(type -> sources.indexOf("new " + type.getEnclosingClass().getSimpleName() + "."
                + type.getSimpleName() + "(") > 0);
    }

    @Test
    void errorsFromOutsideInputRecordNoStackTrace() throws Exception {
        for (Class<?> type : types(YardusherError.class)) {
            Class<?> concern = type.getEnclosingClass();
            if (concern == WireError.class || concern == CommandError.class || concern == UnitError.class || concern == PartError.class
                    || concern == ViewError.class) {
                assertThat(sample(type).getStackTrace()).as(type.getName()).isEmpty();
            }
        }
    }

    @Test
    void placeIsSetOnlyOnce() {
        YardusherError error = new ConfigError.Value(null, "view.most", "a whole number from 1 to 64");
        assertThat(error.in(Path.of("own.toml")).in("other.toml")).hasMessage("own.toml: view.most must be a whole number from 1 to 64");
        assertThat(error.fields()).containsExactly("code", "CONFIG_VALUE", "file", "own.toml", "key", "view.most",
                "allowed", "a whole number from 1 to 64");
    }
}
