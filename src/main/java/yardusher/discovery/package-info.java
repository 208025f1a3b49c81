/** The watch on the discovery service and the service table of backends that it maintains. */
package yardusher.discovery;
