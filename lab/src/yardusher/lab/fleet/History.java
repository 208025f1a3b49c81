package yardusher.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The effects that targets have logged: lines {@code fence MS WORK TOKEN STEP WHAT}, in the order of each target. */
public final class History {
    /** One line. {@code target}: the agent that wrote it. Lines on an instance's process have the work {@code instance}. */
    public record Event(long atMs, String target, String work, long token, String step, String what) { }

    private History() { }

    /** Reads a target's log; skips an incomplete last line, as a kill leaves it. */
    public static List<Event> read(Path file, String target) throws IOException {
        List<Event> events = new ArrayList<>();
        if (!Files.exists(file)) { return events; }
        String text = Files.readString(file);
        int end = text.lastIndexOf('\n') + 1;
        for (String line : text.substring(0, end).split("\n")) {
            String[] words = line.split(" ", 6);
            if (words.length < 6 || !words[0].equals("fence") || !words[1].matches("[0-9]+") || !words[3].matches("[0-9]+")) { continue; }
            events.add(new Event(Long.parseLong(words[1]), target, words[2], Long.parseLong(words[3]), words[4], words[5]));
        }
        return events;
    }
}
