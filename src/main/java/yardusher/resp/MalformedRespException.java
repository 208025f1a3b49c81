package yardusher.resp;

/** Input that is not valid RESP2. The framing is lost, so the connection can only be closed. */
public final class MalformedRespException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedRespException(String message) {
        super(message, null, false, false); // without a stack trace, since hostile input must stay cheap
    }
}
