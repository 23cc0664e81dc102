/** Pages and comparisons of results: one self-contained HTML file for an experiment, with plots and tables. */
package brackenbridge.lab.report;
