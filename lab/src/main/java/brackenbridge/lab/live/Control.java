package brackenbridge.lab.live;

import brackenbridge.lab.trouble.Stage;

/** A process that the laboratory has started and may strike. */
public interface Control extends Stage.Instance {
    /** Its name. */
    String name();

    /** The process's id; it must have been started. */
    long pid();

    /** It stands still (SIGSTOP), or goes on (SIGCONT). */
    void stall(boolean on);
}
