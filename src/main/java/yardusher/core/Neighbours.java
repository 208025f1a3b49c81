package yardusher.core;

/** The other ingresses as the core sees them. */
public interface Neighbours {
    void tell(int to, String body);
}
