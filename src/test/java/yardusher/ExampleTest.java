package yardusher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import yardusher.Api.*;
import org.junit.jupiter.api.Test;

/** Compiles and runs the README's example of embedding, and checks that the README has the same text. */
class ExampleTest {
    @Test
    void theExampleRunsAndStandsInTheReadme() throws IOException {
        // example
        Settings settings = new Settings(0, 2, 0, 1,
                List.of(new RequestClass(500, 2000, 1, 0, Effect.IDEMPOTENT, Group.ALL, 0, false)),
                List.of(new Plan(10, 20, 0, 1, 0, 0, 0)),       // 10 units a second, a burst of 20
                new Limits(3, true, true, 1000), new Rules(0.25, 15000, 3, 1000, 10000),
                List.of(), false, 40, 1, 0, 0);
        List<Action> actions = new ArrayList<>();
        Policy policy = new Policy(settings, 42, 0, actions::add);
        policy.on(0, new ServerList(ListKind.FULL, List.of(new Server(7, 0, 0, 1, 0, Readiness.READY))));
        policy.on(5, new Request(1, 0, 0, 99, 2005, 1, 0, 2));  // actions now ends with Send(1, 7, 500.0)
        policy.on(25, new AttemptDone(1, 0, 7, Outcome.SERVED, 20, true, 0, null));
        // end
        assertTrue(actions.contains(new Send(1, 7, 500)), actions.toString());
        String source = Files.readString(Path.of("src/test/java/yardusher/ExampleTest.java"));
        String example = source.substring(source.indexOf("// example\n") + 11, source.indexOf("        // end\n"));
        String readme = Files.readString(Path.of("README.md"));
        assertEquals(example.stripTrailing().stripIndent(),
                readme.substring(readme.indexOf("```java\n") + 8, readme.indexOf("```\n", readme.indexOf("```java"))).strip());
    }
}
