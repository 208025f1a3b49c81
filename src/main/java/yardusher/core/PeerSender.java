package yardusher.core;

/** The other ingresses as the core sees them. */
public interface PeerSender {
    void send(int to, String body);
}
