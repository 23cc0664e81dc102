package brackenbridge.fleet.config;

import java.util.List;

/** A file that can't be used: every fault found in it, each as {@code FILE:LINE:COLUMN: key: reason}. */
public final class FleetFileException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<String> faults;

    FleetFileException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = List.copyOf(faults);
    }

    /** One line for each fault, in the order of the file. */
    public List<String> faults() {
        return faults;
    }
}
