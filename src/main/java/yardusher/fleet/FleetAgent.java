package yardusher.fleet;

import java.io.IOException;
import java.util.Random;
import yardusher.disk.Directory;
import yardusher.disk.Storage;
import yardusher.error.RegisterError;
import yardusher.fence.Memory;
import yardusher.net.RespServer;
import yardusher.net.Sockets;
import yardusher.register.Store;

/**
 * One agent's part in its fleet: a member of the register ({@link Seat}), a target of orders ({@link Outpost}), from time to
 * time the holder of a work ({@link Holder}), and who answers for all of it ({@link Desk}). All of it in the agent's loop,
 * but for the register's own thread, which waits on the disk.
 */
public final class FleetAgent {
    private final Storage folder;
    private final Memory memory;
    private final Fellows fellows;
    private final Seat seat;
    private final Outpost outpost;
    private final Holder holder;
    private final Desk desk;

    /**
     * Opens the agent's folder.
     *
     * @throws RegisterError where the folder is another's, holds no member, cannot be read or is damaged: one plain line
     */
    public FleetAgent(FleetSettings settings, Sockets sockets, Targets targets) throws IOException {
        Random random = new Random(System.nanoTime() ^ settings.member().hashCode());
        Leases leases = new Leases(settings.member(), Leases.Terms.of(settings), random);
        fellows = new Fellows(settings, sockets, random);
        folder = folder(settings);
        Store store;
        try {
            store = Store.open(folder, settings.installation(), settings.member());
            memory = Memory.open(folder, settings.installation(), settings.member(), sockets.loop());
        } catch (IOException e) {
            folder.close();
            throw new RegisterError.Damaged(settings.folder(), String.valueOf(e.getMessage()), e);
        } catch (RegisterError e) {
            folder.close();
            throw e.in(settings.folder());
        }
        seat = new Seat(settings, fellows, sockets.loop(), random, folder, store, this::changed);
        outpost = new Outpost(memory, targets, sockets.loop(), seat::view);
        holder = new Holder(settings, sockets.loop(), seat, fellows, outpost, leases);
        desk = new Desk(settings, sockets.loop(), seat, fellows, outpost);
        settings.members().forEach(fellows::know);
    }

    /** Begins a member in a folder that holds none: once in a member's life. */
    public static void init(FleetSettings settings, boolean joins) throws IOException {
        try (Storage folder = folder(settings)) {
            Store.begin(folder, settings.installation(), settings.member(), joins).close();
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

    public Memory memory() { return memory; }

    public void start() {
        seat.begin();
        holder.tick();
    }

    /** The register's copy has changed. */
    private void changed() {
        seat.view().addresses().forEach(fellows::know);
        holder.changed();
        outpost.changed();
        holder.tickNow();
    }

    /** Answers a command of the fleet's, now or later. */
    public void command(byte[][] words, RespServer.Slot slot) { desk.command(words, slot); }

    /** Ends this member's part. What it holds is taken by others once its lease is over. */
    public void close() {
        seat.close();
        holder.close();
        fellows.close();
        seat.stop();
    }

    /** After the last turn: what must outlive the process is on disk. */
    public void end() throws IOException {
        memory.close();
        seat.end();
        folder.close();
    }
}
