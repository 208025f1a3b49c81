package yardusher.net;

/** Why no connection came up. */
public enum ConnectFailure {
    /** The peer refused it, cannot be reached, or did not answer in time. */
    PEER,
    /** This machine was short of something, such as descriptors, ports, buffers or routes, until the time was over. */
    LOCAL
}
