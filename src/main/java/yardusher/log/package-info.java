/** Log events for operators, as plain lines or through SLF4J and Logback. */
package yardusher.log;
