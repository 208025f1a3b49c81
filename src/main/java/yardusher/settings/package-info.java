/** The yardusher settings file, deploy/yardusher.toml. */
package yardusher.settings;
