/** The admin address: line-based calls of operators and agents, and their answers. */
package yardusher.admin;
