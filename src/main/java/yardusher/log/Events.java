package yardusher.log;

import java.util.Arrays;
import yardusher.error.YardusherError;

/**
 * What a part of the program has to tell an operator: a text that is the same for each event of a kind, and names and
 * values in turn. Without a table {@code log} in our settings it is a plain line on standard error and nothing is loaded;
 * with one, SLF4J and Logback take it.
 */
public interface Events {
    void info(String text, Object... pairs);

    void warn(String text, Object... pairs);

    /** The same with what the error's type knows: its code, where, its details, and its words under {@code why}. */
    default void warn(String text, YardusherError error) {
        Object[] fields = error.fields();
        Object[] pairs = Arrays.copyOf(fields, fields.length + 2);
        pairs[fields.length] = "why";
        pairs[fields.length + 1] = error.what();
        warn(text, pairs);
    }

    /** Lines such as {@code n3 journal: torn tail cut off file=orders-1.seg bytes=17}. */
    static Events plain(String instance) {
        return new Events() {
            @Override
            public void info(String text, Object... pairs) { System.err.println(line(instance, text, pairs)); }

            @Override
            public void warn(String text, Object... pairs) { System.err.println(line(instance, text, pairs)); }
        };
    }

    /** One line; line ends in a value become spaces, so that an event is never more than a line. */
    static String line(String instance, String text, Object... pairs) {
        StringBuilder line = new StringBuilder(instance).append(' ').append(text);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(String.valueOf(pairs[i + 1]).replaceAll("[\\r\\n]", " "));
        }
        return line.toString();
    }
}
