package yardusher.lab.scale;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.jar.Attributes;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.stream.IntStream;
import yardusher.cli.RespClient;
import yardusher.error.YardusherError;
import yardusher.resp.Value;

/** The real ingresses of a run, started by deploy/start.sh from the root of the repository, as the platform does it. */
final class RealIngresses {
    private static final int ASK_MS = 2000;
    private final Sizes sizes;
    private final Block block;
    private final Path folder;
    private final Process[] processes;

    RealIngresses(Sizes sizes, Block block, Configs configs, long seed, String known, Path folder, Keeper keeper) throws IOException {
        this.sizes = sizes;
        this.block = block;
        this.folder = folder;
        processes = new Process[sizes.real()];
        Path root = root(folder);
        for (int i = 0; i < processes.length; i++) {
            int ingress = sizes.hollow() + i;
            Path config = folder.resolve(Configs.name(ingress) + ".json");
            Path settings = folder.resolve(Configs.name(ingress) + ".toml");
            Files.writeString(config, configs.json(ingress, seed, known));
            Files.writeString(settings, configs.settings(ingress));
            ProcessBuilder start = new ProcessBuilder("bash", "deploy/start.sh", "--settings", settings.toAbsolutePath().toString()).directory(root.toFile()).redirectInput(new File("/dev/null")).redirectErrorStream(true)
                    .redirectOutput(log(ingress).toFile());
            start.environment().put("RELAY_CONFIG", config.toAbsolutePath().toString());
            start.environment().put("RELAY_NAME", Configs.name(ingress));
            start.environment().put("RELAY_LISTEN", Block.text(block.ingress(ingress, Block.LISTEN)));
            start.environment().put("RELAY_DISCOVERY", Block.text(block.discovery()));
            start.environment().put("TMPDIR", Files.createDirectories(folder.resolve("tmp-" + ingress)).toAbsolutePath().toString());
            processes[i] = start.start();
            keeper.keep(processes[i].pid());
        }
    }

    /**
     * Where deploy/start.sh is run: the folder above the built jar that the system property {@code lab.jar} names. Without one, a folder that
     * looks the same, where the jar names the class path of this process: so the build can play it before it has made its jar.
     */
    private static Path root(Path folder) throws IOException {
        String jar = System.getProperty("lab.jar");
        if (jar != null) { return Path.of(jar).toAbsolutePath().getParent().getParent(); }
        Path root = folder.resolve("root");
        Files.createDirectories(root.resolve("deploy"));
        Files.createDirectories(root.resolve("target"));
        Files.copy(Path.of("deploy/start.sh"), root.resolve("deploy/start.sh"));
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, "yardusher.cli.Main");
        StringBuilder paths = new StringBuilder();
        for (String one : System.getProperty("java.class.path").split(File.pathSeparator)) { paths.append(paths.length() == 0 ? "" : " ").append(Path.of(one).toUri()); }
        manifest.getMainAttributes().put(Attributes.Name.CLASS_PATH, paths.toString());
        new JarOutputStream(Files.newOutputStream(root.resolve("target/yardusher.jar")), manifest).close();
        return root;
    }

    Path log(int ingress) { return folder.resolve(Configs.name(ingress) + ".log"); }

    List<Integer> numbers() { return IntStream.range(sizes.hollow(), sizes.ingresses()).boxed().toList(); }

    Process process(int ingress) { return processes[ingress - sizes.hollow()]; }

    /** Waits until each takes clients. */
    void awaitReady(long ms) throws IOException, InterruptedException {
        double until = Moment.now() + ms;
        for (int ingress : numbers()) {
            while (!isReady(ingress)) {
                if (!process(ingress).isAlive() || Moment.now() > until) { throw new IOException(Configs.name(ingress) + " is not ready; see " + log(ingress)); }
                Thread.sleep(50);
            }
        }
    }

    private boolean isReady(int ingress) {
        try {
            return RespClient.call(Block.text(block.ingress(ingress, Block.LISTEN)), 1000, "PING") instanceof Value.SimpleString;
        } catch (YardusherError e) {
            return false;
        }
    }

    /** The counters of one, and its CPU time in ns and resident memory in kB beside them; empty where it does not answer. */
    Map<String, Long> counters(int ingress) throws IOException {
        Map<String, Long> counters = new HashMap<>();
        try {
            String line = RespClient.call(Block.text(block.ingress(ingress, Block.LISTEN)), ASK_MS, "INFO") instanceof Value.BulkString info ? info.text() : "";
            for (String cell : line.strip().split(" ")) {
                int is = cell.indexOf('=');
                if (is > 0 && cell.substring(is + 1).matches("-?[0-9]{1,18}")) { counters.put(cell.substring(0, is), Long.parseLong(cell.substring(is + 1))); }
            }
        } catch (YardusherError e) {
            return counters;
        }
        counters.put("cpu_ns", process(ingress).toHandle().info().totalCpuDuration().map(java.time.Duration::toNanos).orElse(0L));
        counters.put("resident_kb", Machine.residentKb(process(ingress).pid()));
        return counters;
    }
}
