package yardusher.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Plays seed after seed, each in a folder of its own; keeps the folders of those with a breach, and says how to play one again. */
public final class Seeds {
    /** Plays one seed in a folder that is there and empty; the breaches found, a line each. {@code note}: figures for its line. */
    public interface Play {
        List<String> play(Path folder, long seed, StringBuilder note) throws Exception;
    }

    private Seeds() { }

    /** {@code args}: FOLDER FIRST COUNT and what else the play reads. Gives how many seeds had a breach. */
    public static int run(Class<?> main, String[] args, Play play) throws IOException, InterruptedException {
        long first = Long.parseLong(args[1]);
        long count = Long.parseLong(args[2]);
        String rest = String.join(" ", java.util.Arrays.asList(args).subList(3, args.length));
        List<Long> broken = new ArrayList<>();
        for (long seed = first; seed < first + count; seed++) {
            Path folder = Path.of(args[0]).resolve("seed-" + seed);
            if (Files.exists(folder)) { delete(folder); }
            Files.createDirectories(folder);
            String replay = "java" + (System.getProperty("lab.jar") == null ? "" : " -Dlab.jar=" + System.getProperty("lab.jar")) + " -cp "
                    + System.getProperty("java.class.path") + " " + main.getName() + " " + args[0] + " " + seed + " 1 " + rest;
            Files.writeString(folder.resolve("replay.sh"), replay + "\n");
            double from = Chronicle.now();
            StringBuilder note = new StringBuilder();
            List<String> breaches = new ArrayList<>();
            try {
                breaches.addAll(play.play(folder, seed, note));
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                breaches.add("the run itself failed: " + e);
            }
            Files.write(folder.resolve("breaches.txt"), breaches);
            System.out.printf("seed %d: %s%.1f s%s%n", seed, note.isEmpty() ? "" : note + ", ", (Chronicle.now() - from) / 1000,
                    breaches.isEmpty() ? "" : "  BREACH " + breaches + " replay: sh " + folder.resolve("replay.sh"));
            if (breaches.isEmpty()) { delete(folder); } else { broken.add(seed); }
        }
        System.out.println(count + " seeds, " + broken.size() + " with a breach" + (broken.isEmpty() ? "" : ": " + broken));
        return broken.size();
    }

    /** Removes a folder and all in it. */
    public static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) { Files.delete(path); }
        }
    }
}
