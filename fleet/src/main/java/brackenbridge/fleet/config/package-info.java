/** The fleet's file, checked whole. */
package brackenbridge.fleet.config;
