/** The frontend that the platform's clients connect to. */
package yardusher.clients;
