package yardusher.discovery;

import java.io.IOException;

/**
 * Puts the lines of a watch together to whole JSON objects: a list may come on one line or indented over several. An empty
 * line between objects says that nothing has changed. Holds one object at the most, of 4 MiB and 64 levels at the most.
 */
final class JsonObjectAssembler {
    private static final int MAX_OBJECT_CHARS = 4 << 20;
    private static final int MAX_DEPTH = 64;        // a list has three

    private final StringBuilder part = new StringBuilder();
    private int depth;

    /** The object that ends with this line, or an empty text for an empty line between objects; null while one is not whole. */
    String add(String line) throws IOException {
        if (depth == 0 && (line.isBlank() || !line.stripLeading().startsWith("{"))) { return line; } // nothing, or nothing that can be read
        boolean inText = false;
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if (inText) {
                if (c == '\\') { i++; } else if (c == '"') { inText = false; }
            } else if (c == '"') {
                inText = true;
            } else if (c == '{' || c == '[') {
                if (++depth > MAX_DEPTH) { throw new IOException("object too deep"); } // guards the stack of who reads it
            } else if (c == '}' || c == ']') {
                depth--;
            }
        }
        if (inText) { throw new IOException("object is cut off within a text"); } // no text of JSON goes over a line's end
        if (part.length() + line.length() > MAX_OBJECT_CHARS) { throw new IOException("object too long"); }
        if (depth <= 0 && part.isEmpty()) {
            depth = 0;
            return line;
        }
        part.append(line).append('\n');
        if (depth > 0) { return null; }
        depth = 0;
        String whole = part.toString();
        part.setLength(0);
        return whole;
    }
}
