/** The protocol-independent core: the event loop, and the stages that a request passes from its acceptance to its one final answer. */
package yardusher.core;
