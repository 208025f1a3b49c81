/** The interface between an ingress and its optional subsystems. */
package yardusher.subsystem;
