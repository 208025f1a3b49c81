/** The datagram port on which ingresses exchange the decision module's messages. */
package yardusher.peers;
