/** Connections to the backends: pooling, dialling, and one attempt per connection at a time. */
package yardusher.servers;
