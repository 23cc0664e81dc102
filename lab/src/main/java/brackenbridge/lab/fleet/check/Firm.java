package brackenbridge.lab.fleet.check;

/** Whether what a member has taken is owed after its end. */
final class Firm {
    private Firm() {}

    /**
     * Whether it is: its disk had the time to keep it, or, where the disk was lost, all others had the time to hear of
     * it with none of its links in trouble meanwhile.
     */
    static boolean is(String owner, double t, double firmMs, Troubles troubles) {
        for (Troubles.Trouble x : troubles.all()) {
            if (!x.ends() || !x.a().equals(owner) || x.to() < t) {
                continue;
            }
            if (x.from() <= t + firmMs) {
                return false;
            }
            if (x.losesDisk()) {
                double until = Troubles.due(t, firmMs, troubles.like(y -> y.concerns(owner) && y.from() < x.from()));
                if (until > x.from()) {
                    return false;
                }
            }
        }
        return true;
    }
}
