package yardusher.view;

import java.net.InetSocketAddress;

/** What an ingress is called, the hall it stands in, and where the others reach it. */
record MemberIdentity(String name, String hall, InetSocketAddress address) { }
