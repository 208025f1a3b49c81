package yardusher.deployments;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The deployments of our own beside which a kit's files are laid, and that none of these is ever part of the repository. */
class SitesTest {
    private static final Path SITES = Path.of("deploy/sites");
    private static final List<String> LAID = List.of("real.json", "wire.json", "unlock.txt");
    @TempDir
    Path folder;
    private Path script;

    @BeforeEach
    void copy() throws IOException {
        script = Files.copy(SITES.resolve("lay.sh"), Files.createDirectory(folder.resolve("sites")).resolve("lay.sh"));
        Files.createDirectory(folder.resolve("kit"));
    }

    private String lay(int status, String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of("bash", script.toString()));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String told = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).as(told).isEqualTo(status);
        return told;
    }

    @Test
    void allIsLaidOrNothing() throws Exception {
        String kit = folder.resolve("kit").toString();
        assertThat(lay(2, "a", "b")).startsWith("usage: lay.sh");
        assertThat(lay(2, "--quick")).contains("unknown option --quick").contains("usage: lay.sh");
        assertThat(lay(2, folder.resolve("none").toString())).contains("no folder at ").contains("usage: lay.sh");
        for (String name : LAID) {
            assertThat(lay(1, kit)).contains("has no " + name + " that can be read");
            try (Stream<Path> there = Files.list(script.getParent())) { assertThat(there).containsExactly(script); }
            Files.writeString(folder.resolve("kit").resolve(name), name);
        }
        folder.resolve("kit/wire.json").toFile().setReadOnly();
        for (int i = 0; i < 2; i++) {                // a second time over what was laid
            lay(0, kit);
            for (String name : LAID) { assertThat(script.resolveSibling(name)).hasContent(name); }
        }
        assertThat(lay(0, script.getParent().toString())).startsWith("laid ");
    }

    @Test
    void whatIsLaidIsIgnoredAndEachSiteIsNamedAsItsFile() throws IOException {
        assertThat(Files.readAllLines(SITES.resolve(".gitignore"))).containsAll(LAID);
        try (Stream<Path> all = Files.list(SITES)) {
            List<Path> sites = all.filter(file -> file.toString().endsWith(".toml")).toList();
            assertThat(sites).hasSizeGreaterThanOrEqualTo(2).allSatisfy(file -> {
                String name = file.getFileName().toString().replace(".toml", "");
                assertThat(Files.readAllLines(file)).contains("name = \"" + name + "\"", "wire = \"wire.json\"");
            });
        }
    }
}
