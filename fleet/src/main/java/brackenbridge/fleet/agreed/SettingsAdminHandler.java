package brackenbridge.fleet.agreed;

import brackenbridge.fleet.agreed.AgreedValues.EffectiveValues;
import brackenbridge.fleet.agreed.AgreedValues.Value;
import brackenbridge.fleet.agreed.AgreedValues.Verdict;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Operators' commands for agreed values, with text input and output. Each call blocks until its reply or a timeout. */
public final class SettingsAdminHandler {
    private final AgreementMember member;
    private final double withinMs;

    /**
     * Creates a handler that sends its requests through this member.
     *
     * @param withinMs the timeout of a request, in milliseconds
     */
    public SettingsAdminHandler(AgreementMember member, double withinMs) {
        this.member = member;
        this.withinMs = withinMs;
    }

    /**
     * The reply to a command.
     *
     * @param succeeded whether the command succeeded
     * @param text the result or the reason of the failure, for operators
     */
    public record Reply(boolean succeeded, String text) {}

    /**
     * Proposes a content.
     *
     * @param against the generation that has to be in force; if negative, the last one in force known to this member
     */
    public Reply propose(String name, String content, long against) {
        long expected = against >= 0
                ? against
                : member.lastKnown(name).map(Value::generation).orElse(0L);
        byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > AgreedState.MAX_CONTENT_BYTES) {
            return new Reply(false, bytes.length + " bytes; at most " + AgreedState.MAX_CONTENT_BYTES);
        }
        Optional<Verdict> verdict = await(member.propose(name, expected, bytes, withinMs));
        return new Reply(
                verdict.isPresent() && verdict.get() == Verdict.IN_FORCE,
                switch (verdict.orElse(Verdict.UNKNOWN)) {
                    case IN_FORCE -> "in force; nobody acts by generation " + expected + " any more";
                    case OVERTAKEN ->
                        "not taken: it was made against generation " + expected
                                + ", and another is in force; look at it and propose again";
                    case ANOTHER_STAGED -> "not taken: another proposal is staged";
                    case REFUSED -> "refused: a member can't use it; its status and log say why";
                    case UNKNOWN ->
                        "no majority has answered in " + Math.round(withinMs)
                                + " ms: the proposal may still come into force, or never;"
                                + " check the history before you propose again";
                });
    }

    /** Shows the values in force and staged that this member may use. */
    public Reply show(String name) {
        Optional<EffectiveValues> effective = member.effectiveValues(name);
        if (effective.isEmpty()) {
            return member.lastKnown(name)
                    .map(value -> new Reply(false, "in doubt; last known:\n" + format(value)))
                    .orElse(new Reply(false, "nothing is known of " + name));
        }
        Value staged = effective.get().staged();
        return new Reply(
                true, format(effective.get().inForce()) + (staged == null ? "" : "\nstaged:\n" + format(staged)));
    }

    private static String format(Value value) {
        return "generation " + value.generation() + " by " + value.proposer() + "\n"
                + new String(value.content(), StandardCharsets.UTF_8);
    }

    /** Lists the stored generations, oldest first. */
    public Reply history(String name) {
        Optional<AgreementMessage.HistoryResponse> response = readHistory(name, 0);
        if (response.isEmpty()) {
            return noResponse();
        }
        StringBuilder text = new StringBuilder();
        response.get()
                .entries()
                .forEach(entry -> text.append(String.format(
                        Locale.ROOT,
                        "%6d  %-16s %8d bytes  by %s%n",
                        entry.generation(),
                        entry.outcome(),
                        entry.contentBytes(),
                        entry.proposer())));
        return new Reply(text.length() > 0, text.length() > 0 ? text.toString() : "nothing is known of " + name);
    }

    /** Proposes the content of an older generation as a new generation; generation numbers never decrease. */
    public Reply withdraw(String name, long generation) {
        Reply older = content(name, generation);
        return older.succeeded() ? propose(name, older.text(), -1) : older;
    }

    /** Shows the difference between two generations. */
    public Reply diff(String name, long firstGeneration, long secondGeneration) {
        Reply first = content(name, firstGeneration);
        Reply second = content(name, secondGeneration);
        return !first.succeeded()
                ? first
                : !second.succeeded() ? second : new Reply(true, diff(first.text(), second.text()));
    }

    /** Shows whether a majority answers, which member leads, and what is in force. */
    public Reply status() {
        return new Reply(member.alarm().isEmpty(), member.status());
    }

    private Reply content(String name, long generation) {
        Optional<AgreementMessage.HistoryResponse> response = readHistory(name, generation);
        return response.isEmpty()
                ? noResponse()
                : response.get().entries().stream().noneMatch(entry -> entry.generation() == generation)
                        ? new Reply(false, "generation " + generation + " of " + name + " is not kept")
                        : new Reply(true, new String(response.get().content(), StandardCharsets.UTF_8));
    }

    private Optional<AgreementMessage.HistoryResponse> readHistory(String name, long generation) {
        return await(member.readHistory(name, generation, withinMs)).flatMap(response -> response);
    }

    private Reply noResponse() {
        return new Reply(false, "no voter has answered in " + Math.round(withinMs) + " ms");
    }

    private <T> Optional<T> await(CompletableFuture<T> future) {
        try {
            return Optional.of(future.get((long) withinMs + 1000, TimeUnit.MILLISECONDS));
        } catch (TimeoutException | ExecutionException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /** Lists the lines between the first and the last difference: first the removed ones, then the added ones. */
    static String diff(String from, String to) {
        List<String> first = Arrays.asList(from.split("\n", -1));
        List<String> second = Arrays.asList(to.split("\n", -1));
        int prefix = 0;
        while (prefix < Math.min(first.size(), second.size())
                && first.get(prefix).equals(second.get(prefix))) {
            prefix++;
        }
        int suffix = 0;
        while (suffix < Math.min(first.size(), second.size()) - prefix
                && first.get(first.size() - 1 - suffix).equals(second.get(second.size() - 1 - suffix))) {
            suffix++;
        }
        StringBuilder text = new StringBuilder();
        if (first.size() - suffix > prefix || second.size() - suffix > prefix) {
            text.append("from line ").append(prefix + 1).append('\n');
        }
        first.subList(prefix, first.size() - suffix)
                .forEach(line -> text.append("- ").append(line).append('\n'));
        second.subList(prefix, second.size() - suffix)
                .forEach(line -> text.append("+ ").append(line).append('\n'));
        return text.toString();
    }
}
