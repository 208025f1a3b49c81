package yardusher.nginx;

import java.util.List;

/** One nginx directive: its words, the line it begins on, and its block, or null where it has none. */
record Directive(List<String> words, int line, List<Directive> block) {
    String name() { return words.get(0); }

    /** The word at a place after the name, or null. */
    String word(int at) { return at < words.size() ? words.get(at) : null; }

    /** The value of a parameter of the form name=value, or null. */
    String parameter(String name) {
        for (String word : words) {
            if (word.startsWith(name + "=")) { return word.substring(name.length() + 1); }
        }
        return null;
    }
}
