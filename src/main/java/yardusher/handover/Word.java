package yardusher.handover;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import yardusher.error.WireError;

/** One line that two processes of one ingress say to each other, decoded once. */
public sealed interface Word {
    /** A region is out by hand, or no longer; told back once it holds. */
    record Ban(String region, boolean out) implements Word { }

    /** The oldest ban not yet told back holds. */
    record Held() implements Word { }

    record Drain(boolean away) implements Word { }

    /** What another ingress, or the other process itself, says to the module. */
    record Heard(int from, String body) implements Word { }

    /** To be sent to another ingress from the port that the sender gave up. */
    record Send(int to, String body) implements Word { }

    /** All that was known has been told; what follows are changes. */
    record Whole() implements Word { }

    /** The newer process takes clients and owns the port of the peers. */
    record Serving() implements Word { }

    /** Bytes of a line at the most: a datagram in base 64 and what names it. */
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

    /** Reads a line without its end; a {@link WireError.MalformedRespException} for one that is none of these. */
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
                } catch (IllegalArgumentException e) { // no number, or no Base64
                    throw new WireError.Malformed(null, "no datagram in a word between two processes of an ingress", e);
                }
            }
            default -> throw new WireError.Malformed(null, "no word between two processes of an ingress");
        }
    }
}
