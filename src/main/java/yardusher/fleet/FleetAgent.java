package yardusher.fleet;

import java.io.IOException;
import java.util.Random;
import yardusher.disk.Directory;
import yardusher.disk.Storage;
import yardusher.error.RegisterError;
import yardusher.fence.FenceStore;
import yardusher.net.RespServer;
import yardusher.net.Sockets;
import yardusher.register.RaftLogStore;

/**
 * One agent's part in its fleet: a member of the register ({@link RegisterParticipant}), a target of step requests
 * ({@link StepExecutor}), from time to time the holder of a work ({@link LeaseHolder}), and the handler of FLEET
 * commands ({@link FleetCommandHandler}). Runs in the agent's loop, except for the register's own thread, which waits
 * on the disk.
 */
public final class FleetAgent {
    private final Storage folder;
    private final FenceStore fenceStore;
    private final PeerDirectory peers;
    private final RegisterParticipant participant;
    private final StepExecutor stepExecutor;
    private final LeaseHolder holder;
    private final FleetCommandHandler commandHandler;

    /**
     * Opens the agent's folder.
     *
     * @throws RegisterError if the folder belongs to another member, holds no member, cannot be read or is damaged
     */
    public FleetAgent(FleetSettings settings, Sockets sockets, LocalInstances targets) throws IOException {
        Random random = new Random(System.nanoTime() ^ settings.member().hashCode());
        LeaseManager leases = new LeaseManager(settings.member(), LeaseManager.LeaseTimings.of(settings), random);
        peers = new PeerDirectory(settings, sockets, random);
        folder = folder(settings);
        RaftLogStore store;
        try {
            store = RaftLogStore.open(folder, settings.installation(), settings.member());
            fenceStore = FenceStore.open(folder, settings.installation(), settings.member(), sockets.loop());
        } catch (IOException e) {
            folder.close();
            throw new RegisterError.Damaged(settings.folder(), String.valueOf(e.getMessage()), e);
        } catch (RegisterError e) {
            folder.close();
            throw e.in(settings.folder());
        }
        participant = new RegisterParticipant(settings, peers, sockets.loop(), random, folder, store, this::changed);
        stepExecutor = new StepExecutor(fenceStore, targets, sockets.loop(), participant::view);
        holder = new LeaseHolder(settings, sockets.loop(), participant, peers, stepExecutor, leases);
        commandHandler = new FleetCommandHandler(settings, sockets.loop(), participant, peers, stepExecutor);
        settings.members().forEach(peers::putMember);
    }

    /** Creates a member in a folder that holds none: once in a member's life. */
    public static void init(FleetSettings settings, boolean joins) throws IOException {
        try (Storage folder = folder(settings)) {
            RaftLogStore.create(folder, settings.installation(), settings.member(), joins).close();
        } catch (RegisterError e) {
            throw e.in(settings.folder());
        }
    }

    private static Storage folder(FleetSettings settings) {
        try {
            return Directory.openForWriting(settings.folder(), settings.member());
        } catch (IOException e) {
            throw new RegisterError.Folder(settings.folder(), String.valueOf(e.getMessage()), e);
        }
    }

    public FenceStore fenceStore() { return fenceStore; }

    public void start() {
        participant.begin();
        holder.tick();
    }

    /** The local copy of the register has changed. */
    private void changed() {
        participant.view().addresses().forEach(peers::putMember);
        holder.changed();
        stepExecutor.changed();
        holder.tickNow();
    }

    /** Answers a FLEET command, now or later. */
    public void command(byte[][] words, RespServer.Slot slot) { commandHandler.command(words, slot); }

    /** Stops taking part. Other members take over what it holds once its lease has expired. */
    public void close() {
        participant.close();
        holder.close();
        peers.close();
        participant.stop();
    }

    /** Closes the stores after the loop's last turn; what must outlive the process is on disk. */
    public void end() throws IOException {
        fenceStore.close();
        participant.end();
        folder.close();
    }
}
