package yardusher.nginx;

import java.util.ArrayList;
import java.util.List;
import yardusher.error.ConfigError;

/** Parses nginx's configuration language: words, quotes, comments, semicolons and blocks. The nesting depth is bounded. */
final class NginxParser {
    private static final int MOST_DEPTH = 32;

    /** A syntax error; the message names the line. */
    static ConfigError bad(int line, String what) { return new ConfigError.Syntax(null, "line " + line + ": " + what); }

    private final String text;
    private int at;
    private int line = 1;

    private NginxParser(String text) { this.text = text; }

    static List<Directive> parse(String text) { return new NginxParser(text).block(0, 1); }

    private List<Directive> block(int depth, int openedAt) {
        if (depth > MOST_DEPTH) { throw bad(line, "blocks nested too deep"); }
        List<Directive> directives = new ArrayList<>();
        List<String> words = new ArrayList<>();
        int begun = line;
        for (;;) {
            skip();
            if (at == text.length()) {
                if (!words.isEmpty()) { throw bad(begun, "directive \"" + words.get(0) + "\" is not ended by \";\""); }
                if (depth > 0) { throw bad(openedAt, "block is not closed"); }
                return directives;
            }
            char c = text.charAt(at);
            if (c == ';' || c == '{') {
                at++;
                if (words.isEmpty()) { throw bad(line, "unexpected \"" + c + "\""); }
                directives.add(new Directive(List.copyOf(words), begun, c == ';' ? null : block(depth + 1, begun)));
                words.clear();
            } else if (c == '}') {
                at++;
                if (!words.isEmpty()) { throw bad(begun, "directive \"" + words.get(0) + "\" is not ended by \";\""); }
                if (depth == 0) { throw bad(line, "unexpected \"}\""); }
                return directives;
            } else {
                if (words.isEmpty()) { begun = line; }
                words.add(word());
            }
        }
    }

    private void skip() {
        for (; at < text.length(); at++) {
            char c = text.charAt(at);
            if (c == '#') {
                while (at < text.length() && text.charAt(at) != '\n') { at++; }
                if (at == text.length()) { return; }
                c = '\n';
            }
            if (!Character.isWhitespace(c)) { return; }
            if (c == '\n') { line++; }
        }
    }

    private String word() {
        StringBuilder word = new StringBuilder();
        char first = text.charAt(at);
        int begun = line;
        if (first == '"' || first == '\'') {
            for (at++; at < text.length(); at++) {
                char c = text.charAt(at);
                if (c == first) {
                    at++;
                    return word.toString();
                }
                if (c == '\n') { line++; }
                if (c == '\\' && at + 1 < text.length()) { c = text.charAt(++at); }
                word.append(c);
            }
            throw bad(begun, "quote is not closed");
        }
        for (; at < text.length(); at++) {
            char c = text.charAt(at);
            boolean variable = c == '{' && word.length() > 0 && word.charAt(word.length() - 1) == '$'; // ${name}
            if (variable) {
                int end = text.indexOf('}', at);
                if (end < 0) { throw bad(line, "variable is not closed"); }
                word.append(text, at, end + 1);
                at = end;
                continue;
            }
            if (Character.isWhitespace(c) || c == ';' || c == '{' || c == '}') { break; }
            if (c == '\\' && at + 1 < text.length()) {
                word.append(c);
                c = text.charAt(++at);
            }
            word.append(c);
        }
        return word.toString();
    }
}
