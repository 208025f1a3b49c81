package yardusher.view;

import java.net.InetSocketAddress;

/** Name, data hall and mesh address of an ingress. */
record MemberIdentity(String name, String hall, InetSocketAddress address) { }
