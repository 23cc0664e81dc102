/** What a tenant may hold of a node's connections at this moment: values that a fleet hands in, and who goes next. */
package brackenbridge.core.share;
