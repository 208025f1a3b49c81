/** TCP connections and listeners on NIO.2, and the RESP server that the frontends share. */
package yardusher.net;
