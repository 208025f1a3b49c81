package yardusher.handover;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import yardusher.error.WireError;

/** A message between two processes of one ingress, encoded as one line. */
public sealed interface Word {
    /** A region is banned, or no longer; confirmed by {@link Held} once it holds. */
    record Ban(String region, boolean out) implements Word { }

    /** Confirms the oldest unconfirmed ban. */
    record Held() implements Word { }

    record Drain(boolean away) implements Word { }

    /** A message for the module from another ingress or from the other process itself. */
    record Heard(int from, String body) implements Word { }

    /** A datagram to be sent to another ingress from the peer port, which the sender no longer owns. */
    record Send(int to, String body) implements Word { }

    /** The whole state has been sent; changes follow. */
    record Whole() implements Word { }

    /** The newer process accepts clients and owns the peer port. */
    record Serving() implements Word { }

    /** Maximum bytes of a line: a datagram in Base64 and its header. */
    int MOST_LINE = 512;

    /** The line, without its end. */
    default String line() {
        if (this instanceof Ban ban) { return (ban.out ? "ban " : "unban ") + ban.region; }
        if (this instanceof Drain drain) { return drain.away ? "away" : "back"; }
        if (this instanceof Heard heard) { return "heard " + heard.from + " " + coded(heard.body); }
        if (this instanceof Send send) { return "send " + send.to + " " + coded(send.body); }
        return this instanceof Held ? "held" : this instanceof Whole ? "whole" : "serving";
    }

    private static String coded(String body) { return Base64.getEncoder().encodeToString(body.getBytes(StandardCharsets.UTF_8)); }

    /** Decodes a line without its end; a {@link WireError.Malformed} if it is none of these. */
    static Word of(String line) {
        String[] words = line.split(" ", -1);
        String name = words[0] + " " + (words.length - 1);
        switch (name) {
            case "ban 1", "unban 1" -> { return new Ban(words[1], words[0].equals("ban")); }
            case "held 0" -> { return new Held(); }
            case "away 0", "back 0" -> { return new Drain(words[0].equals("away")); }
            case "whole 0" -> { return new Whole(); }
            case "serving 0" -> { return new Serving(); }
            case "heard 2", "send 2" -> {
                try {
                    int number = Integer.parseInt(words[1]);
                    String body = new String(Base64.getDecoder().decode(words[2]), StandardCharsets.UTF_8);
                    return words[0].equals("heard") ? new Heard(number, body) : new Send(number, body);
                } catch (IllegalArgumentException e) { // not a number, or not Base64
                    throw new WireError.Malformed(null, "malformed datagram in a hand-over message", e);
                }
            }
            default -> throw new WireError.Malformed(null, "unknown hand-over message");
        }
    }
}
