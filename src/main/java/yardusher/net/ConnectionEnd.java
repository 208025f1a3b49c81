package yardusher.net;

import java.util.List;

/**
 * The end of a client's connection that still owed replies. {@code stage}: the stage of the connection before; {@code error}: the
 * text of the failure, empty for none; {@code heldBackMs}: for how long input had been left unread, so that the client may have ended it that much earlier, 0 for not;
 * {@code openRequests}: the commands without their whole reply, oldest first.
 */
public record ConnectionEnd(CloseReason reason, String stage, String error, long bytesWritten, long bytesQueued,
        double heldBackMs, List<RespServer.Slot> openRequests) { }
