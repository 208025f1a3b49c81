/** Conversion of nginx configurations into yardusher ones. */
package yardusher.nginx;
