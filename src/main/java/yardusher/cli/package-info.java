/** The command line: sub-commands, the configuration file, and the assembly of an ingress process. */
package yardusher.cli;
