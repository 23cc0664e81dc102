/** Plays an experiment's runs, spread over the cores, and keeps what came of them. */
package brackenbridge.lab.experiment;
