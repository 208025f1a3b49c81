package yardusher.core;

/** Sends messages to the other ingresses. */
public interface PeerSender {
    void send(int to, String body);
}
