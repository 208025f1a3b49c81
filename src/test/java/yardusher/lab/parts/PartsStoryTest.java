package yardusher.lab.parts;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import yardusher.lab.Group;
import yardusher.lab.Programs;
import yardusher.lab.Region;

/** Difficult cases of connection quotas with real processes, in a short form; the long forms are lab commands. */
class PartsStoryTest {
    @TempDir
    Path folder;

    @ParameterizedTest
    @EnumSource(value = PartsCases.Case.class, names = {"STOPPED", "LOWERED", "ROLL", "KILLED", "FROZEN"})
    void theNumberHolds(PartsCases.Case what) throws Exception {
        assertThat(PartsCases.play(folder, what, 3, 9, 1500, new StringBuilder())).isEmpty();
    }

    @Test
    void theCheckerNoticesIngressesThatDoNotNegotiate() throws Exception {
        try (Group group = new Group(folder, 3, 5)) {
            Region region = group.region("00000000", "hall-a").takes(20, 30);
            group.start();
            try (PartsCases.Crowd all = new PartsCases.Crowd(group, 12, 5, -1)) {
                for (double until = Group.now() + 20_000; region.most() <= 3 && Group.now() < until;) { Thread.sleep(20); }
            }
            assertThat(PartsRun.check(group, 3, new StringBuilder())).anyMatch(one -> one.contains("3 allowed"));
        }
    }

    @Test
    void badSettingsAreOnePlainLine() throws Exception {
        String[][] bad = {
            {"connections = 0", "parts.connections must be a whole number from 1 to 30000"}, {"absent = \"no\"", "parts.absent must be one of ask, begin"},
            {"moves = 3", "unknown key parts.moves"}, {"[[parts.region]]\nconnections = 3", "needs either an id or a zone in parts.region"},
            {"[[parts.region]]\nid = \"s-1\"", "needs a whole number in parts.region.connections"}, {"folder = '/dev/null/x'", "parts.folder must be a folder that can be written"},
            {"least = -1", "parts.least must be a whole number from 0 to 100"}};
        List<String> said = new ArrayList<>();
        for (String[] one : bad) {
            Path own = Files.writeString(folder.resolve("own.toml"), "[view]\nlisten = \"127.0.0.1:0\"\ninstallation = \"lab\"\nseeds = []\n[parts]\n" + one[0] + "\n");
            List<String> command = Programs.command(24);
            command.addAll(List.of("serve", "src/test/resources/ingress.json", "--limits", "none", "--settings", own.toString()));
            Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
            String text = new String(process.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
            assertThat(process.waitFor()).as(text).isEqualTo(2);
            assertThat(text.lines()).as(text).singleElement().asString().contains(one[1]);
            said.add(text);
        }
        assertThat(said).hasSize(bad.length);
    }
}
