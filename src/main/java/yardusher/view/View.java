package yardusher.view;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

/**
 * The membership view: which ingresses of the installation this one considers active. Every ingress keeps its own view by gossip,
 * without a leader or a quorum, and two views may differ at any instant. To be used on the event loop only.
 */
public interface View {
    /** The state of a member. GONE: it stayed silent until its suspicion expired; LEFT: it announced its departure. */
    enum State { ALIVE, SUSPECT, GONE, LEFT }

    /**
     * A member as seen by this ingress. {@code incarnation} only grows over the successive processes of a name; {@code hall} is the
     * name of its zone (data hall); {@code address} is its address in the mesh.
     */
    record Member(String name, String hall, InetSocketAddress address, long incarnation, State state) { }

    /**
     * All ALIVE and SUSPECT members, including this one, sorted by name. Digests are equal where names, addresses and processes
     * are equal (a process that refuted a suspicion has a higher incarnation but is the same process). {@code unchangedSinceMs} is
     * when the digest last changed here, on the event loop's clock. {@code agreeing} of the {@code polled} members that were
     * heard from recently report the same digest.
     */
    record Snapshot(List<Member> members, long digest, double unchangedSinceMs, int agreeing, int polled) { }

    /** The difference between two settled snapshots, as one batch. */
    record Change(Snapshot snapshot, List<Member> joined, List<Member> departed) { }

    /** Returns this ingress as the others see it. */
    Member self();

    /** Returns the current snapshot, settled or not. */
    Snapshot snapshot();

    /** Returns a remembered member in any state; null for an unknown name. */
    Member member(String name);

    /**
     * Returns the id that the process holding a name drew at its start. It differs between two processes of one name, and stays the
     * same when the incarnation goes up to refute a suspicion. 0 for an unknown name.
     */
    default long instanceId(String name) { return 0; }

    /** Adds a listener for settled changes; other ingresses need not see the same change. */
    void subscribe(Consumer<Change> listener);
}
