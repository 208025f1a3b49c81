/** Faults of the machine itself: system calls of real ingresses that fail, injected by a preloaded library, and what must hold then. */
package yardusher.lab.faults;
