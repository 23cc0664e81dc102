package brackenbridge.handover;

/** Another process of the same node, from the view of this one. */
public enum Neighbour {
    /** The process that this one replaces. */
    PREDECESSOR,
    /** The process that replaces this one. */
    SUCCESSOR
}
