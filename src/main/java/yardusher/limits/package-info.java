/** The frontend that answers CL.THROTTLE commands, and its configuration file. */
package yardusher.limits;
