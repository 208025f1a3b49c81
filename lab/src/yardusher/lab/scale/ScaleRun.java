package yardusher.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import yardusher.error.ConfigError;
import yardusher.error.YardusherError;

/**
 * The scale run: {@code ScaleRun FILE.toml [SEED] [--day DAY] [--set SIZE=N] [--sweep SIZE] [--out FILE] [--folder FOLDER]}. Each run is a line of
 * JSON at the end of FILE and on standard output, and a table on standard error. Exit 2 on bad input and where the machine would not do,
 * 1 where a run failed, 130 where it was cut off: what it measured until then is told and marked partial. docs/lab.md.
 */
public final class ScaleRun {
    private static final int BAD_INPUT = 2;
    private static final int FAILED = 1;
    private static final int CUT_OFF = 130;
    private static final int END_S = 60;             // for the end of a run that is cut off, on a machine that is behind
    private static final String USAGE = "usage: ScaleRun FILE.toml [SEED] [--day DAY] [--set SIZE=N] [--sweep SIZE] [--out FILE] [--folder FOLDER]";

    private static volatile boolean interrupted;
    private static final CountDownLatch done = new CountDownLatch(1);
    private static volatile int status;

    private ScaleRun() { }

    public static void main(String[] args) throws InterruptedException {
        Thread main = Thread.currentThread();
        Thread hook = new Thread(() -> {
            interrupted = true;
            boolean over = false;
            try {
                over = done.await(END_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            if (!over) { System.err.println("not ended within " + END_S + " s, at " + java.util.Arrays.toString(main.getStackTrace())); }
            Runtime.getRuntime().halt(over ? status : CUT_OFF);
        }, "end");
        Runtime.getRuntime().addShutdownHook(hook);
        status = run(args);
        done.countDown();
        System.out.flush();
        if (!interrupted) { System.exit(status); }
        new CountDownLatch(1).await();               // the hook ends the process
    }

    private static int run(String[] args) {
        Path file;
        long seed;
        List<Sizes> runs = new ArrayList<>();
        Path out;
        Path folder;
        try {
            Options options = new Options();
            for (String name : List.of("day", "set", "sweep", "out", "folder")) { options.addOption(Option.builder().longOpt(name).hasArg().build()); }
            CommandLine line = new DefaultParser().parse(options, args);
            List<String> rest = line.getArgList();
            if (rest.isEmpty() || rest.size() > 2 || rest.size() == 2 && !rest.get(1).matches("[0-9]{1,18}")) { throw new ParseException("a file and a seed of digits"); }
            file = Path.of(rest.get(0));
            seed = rest.size() == 2 ? Long.parseLong(rest.get(1)) : System.nanoTime() % 1_000_000;
            Sizes sizes = Sizes.read(file);
            if (line.hasOption("day")) {
                if (!List.of(Sizes.DAYS).contains(line.getOptionValue("day"))) { throw new ParseException("--day is one of " + String.join(", ", Sizes.DAYS)); }
                sizes = sizes.on(line.getOptionValue("day"));
            }
            for (String set : line.hasOption("set") ? line.getOptionValues("set") : new String[0]) {
                String[] two = set.split("=", 2);
                if (two.length < 2 || !Sizes.AXES.contains(two[0]) || !two[1].matches("[0-9]{1,7}")) { throw new ParseException("--set is SIZE=N, SIZE one of " + String.join(", ", Sizes.AXES)); }
                sizes = sizes.with(two[0], Integer.parseInt(two[1]));
            }
            String axis = line.getOptionValue("sweep");
            if (axis == null) {
                runs.add(sizes);
            } else {
                List<Integer> values = sizes.sweep().get(axis);
                if (values == null) { throw new ConfigError.Missing(file, "sweep." + axis, "values in sweep." + axis); }
                for (int value : values) { runs.add(sizes.with(axis, value)); }
            }
            for (Sizes one : runs) {
                String no = one.refusal(Machine.memoryMb("MemTotal"), Machine.memoryMb("MemAvailable"), Machine.descriptors());
                if (no != null) {
                    System.err.println(file + ": " + no);
                    return BAD_INPUT;
                }
            }
            out = line.hasOption("out") ? Path.of(line.getOptionValue("out")) : null;
            folder = line.hasOption("folder") ? Files.createDirectories(Path.of(line.getOptionValue("folder"))) : Files.createTempDirectory("scale-");
        } catch (YardusherError e) {
            System.err.println(e.getMessage());
            return BAD_INPUT;
        } catch (ParseException e) {
            System.err.println(e.getMessage() + "; " + USAGE);
            return BAD_INPUT;
        } catch (IOException e) {
            System.err.println(e);
            return BAD_INPUT;
        }
        System.err.println("seed " + seed);
        int number = 0;
        for (Sizes one : runs) {
            if (interrupted) { return CUT_OFF; }
            Path mine = folder.resolve("run-" + number++);
            try {
                Play.Result result = new Play(one, file, seed, mine, () -> interrupted).run();
                tell(result, out);
                clean(mine);
                if (interrupted) { return CUT_OFF; }
                if (result.partial()) {
                    System.err.println("a process of the run has ended early; see " + mine);
                    return FAILED;
                }
            } catch (IOException e) {
                System.err.println(e.getMessage());
                return interrupted ? CUT_OFF : FAILED;
            } catch (InterruptedException e) {
                return CUT_OFF;
            } catch (RuntimeException e) {
                e.printStackTrace();                 // a fault of ours; the processes have been ended
                return FAILED;
            }
        }
        return 0;
    }

    private static void tell(Play.Result result, Path out) throws IOException {
        System.out.println(result.json());
        System.err.print(result.table());
        if (out == null) { return; }
        List<String> lines = new ArrayList<>(List.of(result.json()));
        lines.addAll(result.samples());
        Files.write(out, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    /** The tries are the bulk of a run's folder, and are counted by now. */
    private static void clean(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path one : files.filter(path -> path.getFileName().toString().endsWith(".bin")).toList()) { Files.delete(one); }
        }
    }
}
