/** RESP2 decoding and encoding, and the platform's commands. */
package yardusher.resp;
