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

/** Hard cases of divided connections by real processes, short; the long forms are lab commands. */
class PartsStoryTest {
    @TempDir
    Path folder;

    @ParameterizedTest
    @EnumSource(value = PartsCases.Case.class, names = {"STOPPED", "LOWERED", "ROLL", "KILLED", "FROZEN"})
    void theLimitHolds(PartsCases.Case scenario) throws Exception {
        assertThat(PartsCases.play(folder, scenario, 3, 9, 1500, new StringBuilder())).isEmpty();
    }

    @Test
    void theCheckDetectsIngressesThatDoNotNegotiate() throws Exception {
        try (Group group = new Group(folder, 3, 5)) {
            Region region = group.region("00000000", "hall-a").takes(20, 30);
            group.start();
            try (PartsCases.TerminalLoad load = new PartsCases.TerminalLoad(group, 12, 5, -1)) {
                for (double untilMs = Group.now() + 20_000; region.most() <= 3 && Group.now() < untilMs;) { Thread.sleep(20); }
            }
            assertThat(PartsRun.check(group, 3, new StringBuilder())).anyMatch(one -> one.contains("3 allowed"));
        }
    }

    @Test
    void badSettingsAreReportedInOneLine() throws Exception {
        String[][] badSettings = {
            {"connections = 0", "parts.connections must be a whole number from 1 to 30000"}, {"absent = \"no\"", "parts.absent must be one of ask, begin"},
            {"moves = 3", "unknown key parts.moves"}, {"[[parts.region]]\nconnections = 3", "needs either an id or a zone in parts.region"},
            {"[[parts.region]]\nid = \"s-1\"", "needs a whole number in parts.region.connections"}, {"folder = '/dev/null/x'", "parts.folder must be a folder that can be written"},
            {"least = -1", "parts.least must be a whole number from 0 to 100"}};
        List<String> outputs = new ArrayList<>();
        for (String[] setting : badSettings) {
            Path file = Files.writeString(folder.resolve("own.toml"), "[view]\nlisten = \"127.0.0.1:0\"\ninstallation = \"lab\"\nseeds = []\n[parts]\n" + setting[0] + "\n");
            List<String> command = Programs.command(24);
            command.addAll(List.of("serve", "src/test/resources/ingress.json", "--limits", "none", "--settings", file.toString()));
            Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
            String text = new String(process.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
            assertThat(process.waitFor()).as(text).isEqualTo(2);
            assertThat(text.lines()).as(text).singleElement().asString().contains(setting[1]);
            outputs.add(text);
        }
        assertThat(outputs).hasSize(badSettings.length);
    }
}
