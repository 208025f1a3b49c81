package yardusher.nginx;

import java.util.List;

/** An nginx directive: its words, the line it begins on, and its block, or null if it has none. */
record Directive(List<String> words, int line, List<Directive> block) {
    String name() { return words.get(0); }

    /** The argument at an index, counted from 1, or null. */
    String word(int at) { return at < words.size() ? words.get(at) : null; }

    /** The value of a parameter of the form name=value, or null. */
    String parameter(String name) {
        for (String word : words) {
            if (word.startsWith(name + "=")) { return word.substring(name.length() + 1); }
        }
        return null;
    }
}
