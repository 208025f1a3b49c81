package yardusher.servers;

import yardusher.net.Connecting;

/** A dial in progress, for the attempt that started it or for whichever attempt waits once it succeeds. */
final class Dial {
    final WaitingAttempt owner;
    Runnable cancel;
    Connecting connecting;                           // null while it begins

    Dial(WaitingAttempt owner) { this.owner = owner; }
}
