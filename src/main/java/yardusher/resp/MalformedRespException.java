package yardusher.resp;

/** Input that is no legal RESP2; the framing is lost, so the connection can only be closed. */
public final class MalformedRespException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedRespException(String message) {
        super(message, null, false, false); // no stack trace: hostile input must stay cheap
    }
}
