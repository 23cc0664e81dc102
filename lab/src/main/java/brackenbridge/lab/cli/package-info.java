/** The laboratory's command line. */
package brackenbridge.lab.cli;
