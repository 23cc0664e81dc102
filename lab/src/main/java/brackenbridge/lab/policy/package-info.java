/**
 * Policies to hold the module against, written from their published descriptions. They are for comparison in the
 * laboratory alone: no node can select one. All go through the same events and actions as the module, with one retry
 * budget and the same deadline checks.
 */
package brackenbridge.lab.policy;
