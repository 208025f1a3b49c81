package yardusher.view;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

/**
 * Which ingresses of the installation this one holds to be there. Every ingress keeps a view of its own; nobody leads, no
 * majority is asked, and no two views are promised to be the same at any instant. In turns only.
 */
public interface View {
    /** What is held of a member. GONE: silent for longer than suspicion lasts; LEFT: it said so. */
    enum State { ALIVE, SUSPECT, GONE, LEFT }

    /**
     * A member as it is seen here. {@code incarnation} only grows over the lives of a name; {@code hall} is its zone's
     * name; {@code at} is its address in the mesh.
     */
    record Member(String name, String hall, InetSocketAddress address, long incarnation, State state) { }

    /**
     * All members that are ALIVE or SUSPECT, this one among them, in the order of their names. {@code digest} is the same
     * where names, addresses and processes are (a process that was suspected and said that it is there has a higher incarnation and
     * is the same); {@code stillSinceMs} is when it last changed here, on the clock of the
     * loop; {@code same} of the {@code asked} members heard of lately hold this digest.
     */
    record Snapshot(List<Member> members, long digest, double unchangedSinceMs, int agreeing, int polled) { }

    /** What changed between two settled pictures, in one batch. */
    record Change(Snapshot snapshot, List<Member> joined, List<Member> departed) { }

    /** This ingress as the others see it. */
    Member self();

    /** The picture at this moment, settled or not. */
    Snapshot snapshot();

    /** A member of any state that is remembered; null for an unknown name. */
    Member member(String name);

    /**
     * The process that holds a name, by the number that it drew at its start: it differs between two lives of a name, and stays
     * where an incarnation went up because the member was suspected. 0 for an unknown name.
     */
    default long instanceId(String name) { return 0; }

    /** Told of each change after it has settled; never a promise that others see the same. */
    void subscribe(Consumer<Change> listener);
}
