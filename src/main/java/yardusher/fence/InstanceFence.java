package yardusher.fence;

import java.util.HashMap;
import java.util.Map;
import yardusher.error.RegisterError;

/**
 * What one ingress holds against orders of an old owner: the token its agent told it, and for each region the revision
 * that spoke last. Lives as long as the process; until its agent has spoken, no order of the fleet's is taken. An
 * operator's own call at this ingress needs no token, and is what it was before.
 */
public final class InstanceFence {
    private static final int MAX_REGIONS = 4096;

    private long token;
    private final Map<String, Long> revisions = new HashMap<>();

    /** Its agent tells it a token; a {@link RegisterError.Token} where a newer one is known. */
    public void acceptToken(long told) {
        if (told < token) { throw new RegisterError.Token("token " + token + " is newer", token); }
        token = told;
    }

    /** Whether an order is to be followed; false where a later one holds already. A {@link RegisterError.Token} refuses. */
    public boolean isNew(String region, long under, long revision) {
        if (token == 0) { throw new RegisterError.Token("no token is known here yet", 0); }
        if (under != token) { throw new RegisterError.Token("token " + token + " is known here", token); }
        return revision > revisions.getOrDefault(region, 0L);
    }

    /** An order was followed. */
    public void recordApplied(String region, long revision) {
        // Guards the heap: who bans so many regions has other troubles than an old owner's order for the first of them.
        if (revisions.size() >= MAX_REGIONS) { revisions.clear(); }
        revisions.put(region, revision);
    }
}
