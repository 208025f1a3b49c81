package yardusher.register;

import io.microraft.RaftEndpoint;
import yardusher.error.CommandError;

/** An agent as a Raft endpoint, identified by its name. A name is never reused. */
public record Member(String name) implements RaftEndpoint {
    /** Pattern of a member name. */
    public static final String PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,31}";

    public Member {
        if (!name.matches(PATTERN)) { throw new CommandError.Argument("a member's name is up to 32 letters, digits, '.', '_' and '-', a letter or digit first"); }
    }

    @Override
    public Object getId() { return name; }

    @Override
    public String toString() { return name; }
}
