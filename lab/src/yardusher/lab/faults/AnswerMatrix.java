package yardusher.lab.faults;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import yardusher.lab.Discovery;
import yardusher.lab.Group;
import yardusher.lab.Seeds;
import yardusher.lab.faults.AnswerSchedule.Piece;
import yardusher.lab.faults.PausedAnswerRun.Deed;
import yardusher.lab.faults.PausedAnswerRun.Event;
import yardusher.lab.faults.PausedAnswerRun.Setup;
import yardusher.lab.faults.PausedAnswerRun.Shape;

/**
 * Many requests beside each other on one real ingress, drawn by seed: length, first byte, schedule and end of the answer, size of the
 * command, deadline, memory, and one event for the ingress or its list. {@link yardusher.lab.oracle.Oracle} judges them.
 */
public final class AnswerMatrix {
    private static final int REQUESTS = 60;
    private static final int STAGGER_MS = 15;
    private static final int USUAL_EVERY_MS = 200;
    /** By then each answer that ever becomes whole is whole; those that stop are ended with the ingress. */
    private static final int LASTS_MS = 9000;
    private static final int EVENT_AT_MS = 700;
    private static final int STOPPED_MS = 150;
    private static final int SLOW_READS_PER_SECOND = 1_000_000;
    private static final int[] VALUE_BYTES = {0, 300, 60_000, 65_535, 65_536, 65_537, 175_000, 1 << 20, 4 << 20};
    private static final int[] WAITS_MS = {250, 616, 765, 1200, 2000};
    private static final int[] LONGEST_DEADLINES_MS = {300, 900, 3000, 8000};
    private static final int[] HEAPS_MB = {12, 24, 48};
    private static final int[] BODY_BYTES = {0, 0, 0, 100, 100, 1 << 20};
    /** Behind the first byte; negative: before the request's time, by so much. */
    private static final int[] WHOLE_BEHIND_DUE_MS = {-300, -50, 300, 1500, 3000};
    /** The least time between two parts of an answer that is drawn. */
    private static final int MIN_SPAN_MS = 20;
    private static final int CLOSE_TO_DUE_MS = 5;

    private AnswerMatrix() { }

    /** How an answer goes on behind its first bytes. */
    private enum Form { AT_ONCE, LUMPS, DRIP, BEHIND_HEAD, BEFORE_LAST_BYTES, STOPS }

    /** What happens to the ingress or its list meanwhile. */
    private enum Trouble { NONE, HANGUP, TERM, DEPARTURES, BAN, STOP }

    /** {@code FOLDER FIRST COUNT}: plays so many seeds. */
    public static void main(String[] args) throws Exception {
        System.exit(Seeds.run(AnswerMatrix.class, args, AnswerMatrix::play) == 0 ? 0 : 1);
    }

    /** Plays one seed; what the oracle says, a line each. */
    public static List<String> play(Path folder, long seed, StringBuilder note) throws IOException, InterruptedException {
        Random random = new Random(seed * 0x9E3779B97F4A7C15L);
        int longestMs = pick(LONGEST_DEADLINES_MS, random);
        Trouble trouble = Trouble.values()[random.nextInt(Trouble.values().length)];
        int heapMb = pick(HEAPS_MB, random);
        boolean readsSlowly = random.nextInt(4) == 0;
        Setup setup = Setup.usual(Math.min(1000, longestMs / 2.0)).longestDeadline(longestMs).heap(heapMb).staggered(STAGGER_MS).usualEvery(USUAL_EVERY_MS).killedAfter(LASTS_MS)
                .readsPerSecond(readsSlowly ? SLOW_READS_PER_SECOND : 0).events(new Event(EVENT_AT_MS, deed(trouble)));
        List<Shape> shapes = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) { shapes.add(draw(longestMs, random)); }
        PausedAnswerRun.Result result = PausedAnswerRun.play(folder, seed, setup, List.of(shapes));
        long whole = result.played().stream().filter(PausedAnswerRun.Played::isWhole).count();
        note.append(trouble).append(", deadline ").append(longestMs).append(", heap ").append(heapMb).append(readsSlowly ? ", slow reads" : "").append(", ")
                .append(whole).append(" of ").append(REQUESTS).append(" whole");
        return result.verdicts(trouble == Trouble.STOP ? STOPPED_MS : 0);
    }

    private static int pick(int[] from, Random random) { return from[random.nextInt(from.length)]; }

    private static Shape draw(int longestMs, Random random) {
        int waitMs = Math.min(longestMs, pick(WAITS_MS, random));
        int valueBytes = pick(VALUE_BYTES, random);
        int bodyBytes = pick(BODY_BYTES, random);
        int firstAtMs = switch (random.nextInt(6)) {
            case 0 -> Math.max(MIN_SPAN_MS, waitMs - CLOSE_TO_DUE_MS);
            case 1 -> waitMs + CLOSE_TO_DUE_MS;
            default -> MIN_SPAN_MS;
        };
        int wholeAtMs = Math.max(firstAtMs + MIN_SPAN_MS, waitMs + pick(WHOLE_BEHIND_DUE_MS, random));
        Form form = Form.values()[random.nextInt(Form.values().length)];
        return new Shape(1, bodyBytes, waitMs, valueBytes, schedule(form, firstAtMs, wholeAtMs, random.nextDouble()));
    }

    private static AnswerSchedule schedule(Form form, int firstAtMs, int wholeAtMs, double part) {
        int spanMs = wholeAtMs - firstAtMs;
        return switch (form) {
            case AT_ONCE -> AnswerSchedule.lumps(firstAtMs);
            case LUMPS -> AnswerSchedule.lumps(firstAtMs, firstAtMs + spanMs / 3, firstAtMs + spanMs * 2 / 3, wholeAtMs);
            case DRIP -> (lengths, random) -> AnswerSchedule.drip(Math.max(1, spanMs / 20), 21).pieces(lengths, random).stream()
                    .map(piece -> new Piece(piece.upToBytes(), piece.atMs() + firstAtMs)).toList();
            case BEHIND_HEAD -> (lengths, random) -> List.of(new Piece(lengths.head(), firstAtMs), new Piece(lengths.all(), wholeAtMs));
            case BEFORE_LAST_BYTES -> (lengths, random) -> List.of(new Piece(lengths.all() - 1, firstAtMs), new Piece(lengths.all(), wholeAtMs));
            case STOPS -> AnswerSchedule.stopsAt(part, firstAtMs);
        };
    }

    private static Deed deed(Trouble trouble) {
        return (group, backends) -> {
            switch (trouble) {
                case HANGUP -> group.signal(0, "-HUP");
                case TERM -> group.signal(0, "-TERM");
                case DEPARTURES -> depart(group, backends);
                case BAN -> ban(group, backends.get(0));
                case STOP -> {
                    group.pause(0);
                    Thread.sleep(STOPPED_MS);
                    group.resume(0);
                }
                default -> { }
            }
        };
    }

    private static void ban(Group group, String backend) throws IOException {
        try (Socket socket = new Socket(group.admin(0).getAddress(), group.admin(0).getPort())) {
            socket.getOutputStream().write(("cordon " + backend + "\n").getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }

    private static void depart(Group group, List<String> backends) {
        for (int i = 1; i < backends.size(); i++) {
            Discovery.Entry entry = group.discovery().entry(backends.get(i));
            if (i % 2 == 0) { group.discovery().remove(backends.get(i)); } else { group.discovery().put(entry.in("Terminating")); }
        }
    }
}
