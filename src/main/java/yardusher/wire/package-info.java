/** The platform's JSON: settings, their validation, and the simulator's messages. */
package yardusher.wire;
