package yardusher.lab.faults;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** When a backend writes which bytes of its answer. Times are in milliseconds from the reading of the command. */
public interface AnswerSchedule {
    /** By {@code atMs}, the first {@code upToBytes} of the answer are written. */
    record Piece(int upToBytes, int atMs) { }

    /** The lengths of an answer: of its head, of its value, and in all. */
    record Lengths(int head, int value, int all) {
        /** The length of the answer up to this part of its value. */
        int upTo(double part) { return head + (int) (value * part); }
    }

    /** The pieces in their order. An answer whose last piece is not its end is never whole. */
    List<Piece> pieces(Lengths lengths, Random random);

    /** The value in equal lumps at these times. */
    static AnswerSchedule lumps(int... atMs) {
        return (lengths, random) -> {
            List<Piece> pieces = new ArrayList<>();
            for (int i = 1; i <= atMs.length; i++) {
                pieces.add(new Piece(i == atMs.length ? lengths.all : lengths.upTo((double) i / atMs.length), atMs[i - 1]));
            }
            return pieces;
        };
    }

    /** Equal lumps every so many milliseconds. */
    static AnswerSchedule drip(int everyMs, int lumps) {
        int[] atMs = new int[lumps];
        for (int i = 0; i < lumps; i++) { atMs[i] = i * everyMs; }
        return lumps(atMs);
    }

    /** The head with one byte of the value, and the rest at that time. */
    static AnswerSchedule oneByteThenRest(int restAtMs) {
        return (lengths, random) -> List.of(new Piece(lengths.head + 1, 0), new Piece(lengths.all, restAtMs));
    }

    /** This part of the value at that time, and nothing more. */
    static AnswerSchedule stopsAt(double part, int atMs) { return (lengths, random) -> List.of(new Piece(lengths.upTo(part), atMs)); }

    /** Writes an answer with a value of that length by this schedule. */
    default void write(OutputStream out, int valueBytes, Random random) throws IOException, InterruptedException {
        write(out, valueBytes, random, (bytes, isWhole) -> { });
    }

    /** Told of each piece of an answer that was written. */
    interface Listener {
        /** So many bytes of the value are written by now; the answer is whole with them, or not yet. */
        void written(int valueBytes, boolean isWhole);
    }

    /** Whether an answer of this schedule becomes whole at all. */
    default boolean givesWhole(int valueBytes, Random random) {
        Lengths lengths = new Lengths(0, valueBytes, valueBytes + 1);
        List<Piece> pieces = pieces(lengths, random);
        return pieces.get(pieces.size() - 1).upToBytes == lengths.all;
    }

    /** Writes an answer and tells a listener how far it is. */
    default void write(OutputStream out, int valueBytes, Random random, Listener listener) throws IOException, InterruptedException {
        byte[] head = ("*3\r\n$" + valueBytes + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] end = "\r\n$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII);
        byte[] answer = Arrays.copyOf(head, head.length + valueBytes + end.length);
        System.arraycopy(end, 0, answer, head.length + valueBytes, end.length);
        long begunNanos = System.nanoTime();
        int written = 0;
        for (Piece piece : pieces(new Lengths(head.length, valueBytes, answer.length), random)) {
            long waitMs = piece.atMs - (System.nanoTime() - begunNanos) / 1_000_000;
            if (waitMs > 0) { Thread.sleep(waitMs); }
            out.write(answer, written, piece.upToBytes - written);
            written = piece.upToBytes;
            listener.written(Math.max(0, Math.min(valueBytes, written - head.length)), written == answer.length);
        }
    }
}
