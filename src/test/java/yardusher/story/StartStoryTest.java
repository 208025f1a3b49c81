package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command {@code run} of the deploy file, with a stand-in that shows with which arguments a JVM would start. */
class StartStoryTest {
    @TempDir
    Path folder;

    /** Runs the command with no other program to be found than the stand-in; gives its process id and its line. */
    private String start(String config) throws Exception {
        Path java = folder.resolve("java");
        Files.writeString(java, "#!/bin/sh\necho \"pid=$$ $*\"\n");
        Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwxr-xr-x"));
        Path bash = folder.resolve("bash");
        if (!Files.exists(bash)) { Files.createSymbolicLink(bash, Path.of("/bin/bash")); }
        Path env = folder.resolve("env");            // for a start with SIGHUP ignored
        if (!Files.exists(env)) { Files.createSymbolicLink(env, Path.of("/usr/bin/env")); }
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertThat(run.find()).isTrue();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).redirectErrorStream(true);
        builder.environment().put("PATH", folder.toString());
        builder.environment().put("RELAY_CONFIG", config);
        Process process = builder.start();
        String told = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).as(told).isZero();
        assertThat(told).as("the shell becomes the program").contains("pid=" + process.pid() + " ");
        return told;
    }

    private String startWith(String json) throws Exception {
        Path config = folder.resolve("config.json");
        Files.writeString(config, json);
        return start(config.toString());
    }

    /** Guards against a second process where fork is refused, and against the heap of another machine. */
    @Test
    void theHeapFollowsTheMemoryAndNothingElseIsStarted() throws Exception {
        assertThat(startWith("{\"limits\":{\"cores\":0.3,\"memory_mb\":144,\"sockets\":384}}")).contains("-Xmx64m ");
        assertThat(startWith("{\"limits\": {\"memory_mb\" :  96 }}\n")).contains("-Xmx40m ");
        assertThat(startWith("{\n \"limits\":\n {\"memory_mb\":32}}")).contains("-Xmx12m ");
        assertThat(startWith("{\"limits\":{\"memory_mb\":8192}}")).contains("-Xmx64m ");
        assertThat(startWith("{\"limits\":{\"memory_mb\":099}}")).contains("-Xmx41m ");
        assertThat(startWith("{\"admin_addr\":\"127.0.0.1:19000\",\"limits\":{\"memory_mb\":208}}")).as("two fit").contains("-Xmx64m ");
        assertThat(startWith("{\"admin_addr\":\"127.0.0.1:19000\",\"limits\":{\"memory_mb\":144}}")).as("two fit").contains("-Xmx32m ");
        String script = Files.readString(Path.of("deploy/start.sh"));
        assertThat(script.lines().filter(line -> !line.startsWith("#"))).as("neither a substitution nor a pipe, which fork")
                .noneMatch(line -> line.matches(".*(\\$\\((?!\\()|`|[^|]\\|[^|]|<\\().*"));
    }

    @Test
    void withoutAFigureOrAFileTheDefaultIsTaken() throws Exception {
        assertThat(startWith("{\"limits\":{}}")).contains("-Xmx56m ");
        assertThat(startWith("{\"limits\":{\"memory_mb\":\"many\"}}")).contains("-Xmx56m ");
        assertThat(start(folder.resolve("missing.json").toString())).contains("-Xmx56m ").contains("preferIPv4Stack=true");
    }
}
