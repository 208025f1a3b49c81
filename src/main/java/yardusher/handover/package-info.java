/** Hand-over between two processes of one ingress during an upgrade. */
package yardusher.handover;
