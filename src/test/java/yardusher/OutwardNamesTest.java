package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Names that clients, backends, peers, stored data or operators know stay letter for letter when code is renamed. A rename that
 * also changes a string literal or an enum constant written out by its own name would only show beside an older build.
 */
class OutwardNamesTest {
    private static final Path LIST = Path.of("src/test/resources/outward-names.txt");
    private static final Path SOURCES = Path.of("src/main/java");
    /** A comment, a character or a string literal: the first two are matched so that quotes within them begin no literal. */
    private static final Pattern TOKEN = Pattern.compile(
            "//[^\\n]*|/\\*.*?\\*/|'(?:\\\\.|[^'\\\\])+'|\"((?:\\\\.|[^\"\\\\])*)\"", Pattern.DOTALL);
    private static final Pattern ENUM = Pattern.compile("\\benum\\s+\\w+[^{]*\\{(.*?)(?:;|\\n\\s*}|})", Pattern.DOTALL);
    private static final Pattern CONSTANT = Pattern.compile("\\b[A-Z][A-Z0-9_]*\\b");

    /** What one package holds: its string literals, and the constants of its enums. */
    private record Names(Set<String> literals, Set<String> constants) { }

    @Test
    void everyOutwardNameStandsInTheProgram() throws IOException {
        assertThat(missing(Files.readAllLines(LIST), readPackages())).isEmpty();
    }

    @Test
    void aNameThatIsTakenOutIsSeen() throws IOException {
        List<String> list = Files.readAllLines(LIST);
        for (String packageName : List.of("yardusher", "yardusher.wire", "yardusher.units")) {
            Map<String, Names> packages = readPackages();
            Names names = packages.get(packageName);
            String literal = names.literals().stream().filter(one -> list.contains("\"" + one + "\"")).sorted().findFirst().orElseThrow();
            names.literals().remove(literal);
            assertThat(missing(list, packages)).containsExactly(packageName + ": \"" + literal + "\"");
        }
        Map<String, Names> packages = readPackages();
        packages.get("yardusher.view").constants().remove("SUSPECT");
        assertThat(missing(list, packages)).containsExactly("yardusher.view: enum SUSPECT");
        assertThat(missing(List.of("[deploy/balancer.toml]", "contains policies ="), packages))
                .containsExactly("deploy/balancer.toml: contains policies =");
    }

    private static List<String> missing(List<String> list, Map<String, Names> packages) throws IOException {
        List<String> missing = new ArrayList<>();
        String section = "";
        for (String line : list) {
            if (line.startsWith("[")) {
                section = line.substring(1, line.length() - 1);
            } else if (!line.isEmpty() && !line.startsWith("#") && !stands(line, section, packages)) {
                missing.add(section + ": " + line);
            }
        }
        return missing;
    }

    private static boolean stands(String line, String section, Map<String, Names> packages) throws IOException {
        if (line.startsWith("contains ")) {
            return Files.readString(Path.of(section)).contains(line.substring("contains ".length()));
        }
        Names names = packages.getOrDefault(section, new Names(Set.of(), Set.of()));
        if (line.startsWith("enum ")) {
            return names.constants().contains(line.substring("enum ".length()));
        }
        return names.literals().contains(line.substring(1, line.length() - 1));
    }

    private static Map<String, Names> readPackages() throws IOException {
        Map<String, Names> packages = new HashMap<>();
        List<Path> files;
        try (Stream<Path> walk = Files.walk(SOURCES)) {
            files = walk.filter(file -> file.toString().endsWith(".java")).toList();
        }
        for (Path file : files) {
            String packageName = SOURCES.relativize(file.getParent()).toString().replace('/', '.');
            Names names = packages.computeIfAbsent(packageName, none -> new Names(new HashSet<>(), new HashSet<>()));
            String code = collectLiterals(Files.readString(file), names.literals());
            collectConstants(code, names.constants());
        }
        return packages;
    }

    /** Collects the string literals of a source and returns the source without comments and literals. */
    private static String collectLiterals(String source, Set<String> literals) {
        Matcher tokens = TOKEN.matcher(source);
        StringBuilder code = new StringBuilder();
        while (tokens.find()) {
            if (tokens.group(1) != null) { literals.add(tokens.group(1)); }
            tokens.appendReplacement(code, " ");
        }
        return tokens.appendTail(code).toString();
    }

    private static void collectConstants(String code, Set<String> constants) {
        Matcher enums = ENUM.matcher(code);
        while (enums.find()) {
            Matcher names = CONSTANT.matcher(enums.group(1));
            while (names.find()) { constants.add(names.group()); }
        }
    }
}
