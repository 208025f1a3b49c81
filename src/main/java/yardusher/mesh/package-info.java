/** Datagrams between the ingresses of an installation, shared by membership, units of work, connection shares and rates. */
package yardusher.mesh;
