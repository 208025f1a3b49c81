package yardusher.nginx;

import java.util.ArrayList;
import java.util.List;
import yardusher.error.ConfigError;

/** Reads nginx's configuration language: words, quotes, comments, semicolons and blocks. Bounded in depth. */
final class NginxParser {
    private static final int MAX_DEPTH = 32;

    /** A file that is not in nginx's form; the message names the line. */
    static ConfigError syntaxError(int line, String what) { return new ConfigError.Syntax(null, "line " + line + ": " + what); }

    private final String text;
    private int position;
    private int line = 1;

    private NginxParser(String text) { this.text = text; }

    static List<Directive> parse(String text) { return new NginxParser(text).block(0, 1); }

    private List<Directive> block(int depth, int openedAt) {
        if (depth > MAX_DEPTH) { throw syntaxError(line, "blocks nested too deep"); }
        List<Directive> directives = new ArrayList<>();
        List<String> words = new ArrayList<>();
        int begun = line;
        for (;;) {
            skip();
            if (position == text.length()) {
                if (!words.isEmpty()) { throw syntaxError(begun, "directive \"" + words.get(0) + "\" is not ended by \";\""); }
                if (depth > 0) { throw syntaxError(openedAt, "block is not closed"); }
                return directives;
            }
            char c = text.charAt(position);
            if (c == ';' || c == '{') {
                position++;
                if (words.isEmpty()) { throw syntaxError(line, "unexpected \"" + c + "\""); }
                directives.add(new Directive(List.copyOf(words), begun, c == ';' ? null : block(depth + 1, begun)));
                words.clear();
            } else if (c == '}') {
                position++;
                if (!words.isEmpty()) { throw syntaxError(begun, "directive \"" + words.get(0) + "\" is not ended by \";\""); }
                if (depth == 0) { throw syntaxError(line, "unexpected \"}\""); }
                return directives;
            } else {
                if (words.isEmpty()) { begun = line; }
                words.add(word());
            }
        }
    }

    private void skip() {
        for (; position < text.length(); position++) {
            char c = text.charAt(position);
            if (c == '#') {
                while (position < text.length() && text.charAt(position) != '\n') { position++; }
                if (position == text.length()) { return; }
                c = '\n';
            }
            if (!Character.isWhitespace(c)) { return; }
            if (c == '\n') { line++; }
        }
    }

    private String word() {
        StringBuilder word = new StringBuilder();
        char first = text.charAt(position);
        int begun = line;
        if (first == '"' || first == '\'') {
            for (position++; position < text.length(); position++) {
                char c = text.charAt(position);
                if (c == first) {
                    position++;
                    return word.toString();
                }
                if (c == '\n') { line++; }
                if (c == '\\' && position + 1 < text.length()) { c = text.charAt(++position); }
                word.append(c);
            }
            throw syntaxError(begun, "quote is not closed");
        }
        for (; position < text.length(); position++) {
            char c = text.charAt(position);
            boolean variable = c == '{' && word.length() > 0 && word.charAt(word.length() - 1) == '$'; // ${name}
            if (variable) {
                int end = text.indexOf('}', position);
                if (end < 0) { throw syntaxError(line, "variable is not closed"); }
                word.append(text, position, end + 1);
                position = end;
                continue;
            }
            if (Character.isWhitespace(c) || c == ';' || c == '{' || c == '}') { break; }
            if (c == '\\' && position + 1 < text.length()) {
                word.append(c);
                c = text.charAt(++position);
            }
            word.append(c);
        }
        return word.toString();
    }
}
