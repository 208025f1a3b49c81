package yardusher.fence;

import java.util.HashMap;
import java.util.Map;
import yardusher.error.RegisterError;

/**
 * Fencing at one ingress instance against commands of a former owner: the token from its agent, and for each region the
 * revision of the last change. Lives as long as the process; until the agent has sent a token, no fleet command is
 * accepted. An operator's direct command at this ingress needs no token.
 */
public final class InstanceFence {
    private static final int MAX_REGIONS = 4096;

    private long token;
    private final Map<String, Long> revisions = new HashMap<>();

    /** Accepts a token from the agent. Throws {@link RegisterError.Token} if a newer one is known. */
    public void acceptToken(long newToken) {
        if (newToken < token) { throw new RegisterError.Token("token " + token + " is newer", token); }
        token = newToken;
    }

    /**
     * Whether a change is newer than the last one of its region. Throws {@link RegisterError.Token} unless {@code
     * under} is the known token.
     */
    public boolean isNew(String region, long commandToken, long revision) {
        if (token == 0) { throw new RegisterError.Token("no token is known here yet", 0); }
        if (commandToken != token) { throw new RegisterError.Token("token " + token + " is known here", token); }
        return revision > revisions.getOrDefault(region, 0L);
    }

    /** Records that a change was applied. */
    public void recordApplied(String region, long revision) {
        // Bounds the heap: with so many regions banned, a stale command for one of the first is the smaller problem.
        if (revisions.size() >= MAX_REGIONS) { revisions.clear(); }
        revisions.put(region, revision);
    }
}
