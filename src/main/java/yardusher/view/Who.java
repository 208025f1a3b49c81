package yardusher.view;

import java.net.InetSocketAddress;

/** Name, data hall and mesh address of an ingress. */
record Who(String name, String hall, InetSocketAddress at) { }
