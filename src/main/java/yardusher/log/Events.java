package yardusher.log;

import java.util.Arrays;
import yardusher.error.YardusherError;

/**
 * Log events for operators: a constant text per kind of event, and alternating names and values. Without a table {@code log}
 * in the settings an event is a plain line on standard error and no logging library is loaded; with one, events go through
 * SLF4J to Logback.
 */
public interface Events {
    void info(String text, Object... pairs);

    void warn(String text, Object... pairs);

    /** The same with the fields of an error: its code, place and details, and its message under {@code why}. */
    default void warn(String text, YardusherError error) {
        Object[] fields = error.fields();
        Object[] pairs = Arrays.copyOf(fields, fields.length + 2);
        pairs[fields.length] = "why";
        pairs[fields.length + 1] = error.what();
        warn(text, pairs);
    }

    /** Writes plain lines such as {@code n3 journal: torn tail cut off file=orders-1.seg bytes=17}. */
    static Events plain(String instance) {
        return new Events() {
            @Override
            public void info(String text, Object... pairs) { System.err.println(line(instance, text, pairs)); }

            @Override
            public void warn(String text, Object... pairs) { System.err.println(line(instance, text, pairs)); }
        };
    }

    /** Formats an event as one line; line ends in a value become spaces. */
    static String line(String instance, String text, Object... pairs) {
        StringBuilder line = new StringBuilder(instance).append(' ').append(text);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(String.valueOf(pairs[i + 1]).replaceAll("[\\r\\n]", " "));
        }
        return line.toString();
    }
}
