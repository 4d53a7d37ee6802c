package dev.toucanstall.core.event;

import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.Urgency;
import org.jspecify.annotations.Nullable;

/**
 * A request as the caller sent it, without its body. Immutable.
 *
 * @param keyDigest digest of the key that came with the request, null if none came
 * @param serviceName requested name, any text; an alias or the name of a service
 * @param requestId the caller's id of the request, null if the caller gave none
 * @param idempotent false if the caller marked the request as non-idempotent
 * @param replayable whether the body can be sent a second time
 * @param urgency class of the request in its team's queue
 * @param deadline time at which the caller stops waiting, in nanoseconds of the monotonic clock
 */
public record Arrival(
    @Nullable KeyDigest keyDigest,
    String serviceName,
    @Nullable String requestId,
    boolean idempotent,
    boolean replayable,
    Urgency urgency,
    long deadline) {}
