package yardusher.lab.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import yardusher.lab.Programs;

/**
 * The program with one safeguard removed, to check that the rules notice the fault in real processes. A few source
 * lines are changed, compiled into a folder and put before the program's own classes; the sources and the build stay as
 * they are. Needs the sources in the working directory. A line that no longer exists is an error, so that a planted
 * fault cannot become harmless unnoticed.
 */
final class Plant {
    private static final Path SOURCES = Path.of("src/main/java/yardusher");

    private record Edit(String file, String from, String to) { }

    private static final Edit SLOW_DISK = new Edit("fence/FenceStore.java", "ledger.append(lines);",
            "if (Math.random() < 0.25) { try { Thread.sleep(1500); } catch (InterruptedException e) { /* later */ } }\n ledger.append(lines);");

    private static final Map<String, List<Edit>> ALL = new LinkedHashMap<>();

    static {
        ALL.put("no-fence", List.of(
                new Edit("fence/Fence.java", "if (token < state.sealedToken) { return false; }", ""),
                new Edit("fence/Fence.java", "if (token < state.sealedToken) { return new Refused(state.sealedToken); }", ""),
                new Edit("fence/Fence.java", "if (token > state.sealedToken) { return new Unsealed(state.sealedToken); }", ""),
                new Edit("fence/Fence.java", "return sealedToken(work) == token;", "return true;"),
                new Edit("fleet/StepExecutor.java", "long newest = Math.max(grantedToken(kind), fence.sealedToken(kind.label()));",
                        "long newest = 0;"),
                new Edit("fleet/StepExecutor.java", "long newest = grantedToken(kind);", "long newest = 0;"),
                new Edit("fleet/StepExecutor.java", "|| token < grantedToken(kind))", "|| false)")));
        // Steps of different owners are not deduplicated.
        ALL.put("no-step-ids", List.of(new Edit("fence/Fence.java", "Step known = state.steps.get(step);",
                "Step known = state.steps.get(step);\n if (known != null && known.token() != token) { known = null; }")));
        ALL.put("no-resume", List.of(new Edit("fleet/StepExecutor.java", "targets.starts(instance) > Long.parseLong(before)", "false")));
        ALL.put("no-look", List.of(SLOW_DISK, new Edit("fleet/StepExecutor.java",
                "!fence.isCurrent(kind.label(), token) || token < grantedToken(kind)", "false")));
        // The next two must cause no breach: the remaining safeguards have to hold.
        ALL.put("no-lease", List.of(new Edit("fleet/LeaseHolder.java",
                "holdings.get(holding.kind) == holding && leases.holds(loop.now(), holding.kind, holding.token)",
                "true")));
        ALL.put("slow-disk", List.of(SLOW_DISK));
    }

    private final Path classes;

    private Plant(Path classes) { this.classes = classes; }

    static List<String> names() { return List.copyOf(ALL.keySet()); }

    /** Compiles the faulty classes into a folder. */
    static Plant of(String name, Path folder) throws IOException {
        List<Edit> edits = ALL.get(name);
        if (edits == null) { throw new IllegalArgumentException("one of " + names() + ", not " + name); }
        Map<String, String> texts = new LinkedHashMap<>();
        for (Edit edit : edits) {
            String text = texts.containsKey(edit.file()) ? texts.get(edit.file()) : Files.readString(SOURCES.resolve(edit.file()));
            if (!text.contains(edit.from())) { throw new IOException(edit.file() + " no longer has: " + edit.from()); }
            texts.put(edit.file(), text.replace(edit.from(), edit.to()));
        }
        List<String> words = new ArrayList<>(List.of("-nowarn", "-d", folder.resolve("classes").toString(), "-cp", classPath()));
        Files.createDirectories(folder.resolve("classes"));
        for (Map.Entry<String, String> text : texts.entrySet()) {
            Path file = folder.resolve("yardusher").resolve(text.getKey());
            Files.createDirectories(file.getParent());
            Files.writeString(file, text.getValue());
            words.add(file.toString());
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        if (compiler.run(null, said, said, words.toArray(new String[0])) != 0) { throw new IOException(said.toString(StandardCharsets.UTF_8)); }
        return new Plant(folder.resolve("classes"));
    }

    private static String classPath() {
        String jar = System.getProperty("lab.jar");
        return jar != null ? jar : System.getProperty("java.class.path");
    }

    /** The command line before the sub-command. */
    List<String> command(int heapMb) { return Programs.command(heapMb, classes); }
}
