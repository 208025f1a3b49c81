package yardusher.core;

/** Sends messages to the other ingresses. */
public interface Neighbours {
    void tell(int to, String body);
}
