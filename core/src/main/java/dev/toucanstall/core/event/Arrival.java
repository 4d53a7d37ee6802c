package dev.toucanstall.core.event;

import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.Urgency;
import org.jspecify.annotations.Nullable;

/**
 * What a caller asks, without the bytes of its body.
 *
 * @param keyDigest the digest of the key that came with the request, null if none came
 * @param serviceName the name the caller asked for, any text
 * @param requestId the caller's id of the request, null if it gave none
 * @param idempotent false if the caller marked the request as non-idempotent
 * @param replayable whether the body can be sent a second time
 * @param urgency how soon it wants to start
 * @param deadline when the caller stops waiting, in nanoseconds of the monotonic clock
 */
public record Arrival(
    @Nullable KeyDigest keyDigest,
    String serviceName,
    @Nullable String requestId,
    boolean idempotent,
    boolean replayable,
    Urgency urgency,
    long deadline) {}
