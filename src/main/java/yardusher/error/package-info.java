/** Typed errors with a stable code, an exit code and advice for the operator. */
package yardusher.error;
