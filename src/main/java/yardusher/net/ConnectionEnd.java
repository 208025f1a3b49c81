package yardusher.net;

import java.util.List;

/**
 * The end of a client's connection that still owed replies. {@code stage}: the stage of the connection before; {@code error}: the
 * text of the failure, empty for none; {@code openRequests}: the commands without their whole reply, oldest first.
 */
public record ConnectionEnd(CloseReason reason, String stage, String error, long bytesWritten, long bytesQueued,
        List<RespServer.Slot> openRequests) { }
