package dev.toucanstall.testbed.load;

import java.util.Arrays;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * One stream of requests, written as {@code name=a;key=K;service=s;rate=50;ms=20}.
 *
 * @param name its name in the result
 * @param key the key that it shows, none if empty
 * @param service the service that it asks for
 * @param requestsPerSecond mean requests a second
 * @param serviceMillis how long each runs at the backend server
 * @param urgency "urgent" or "batch"
 * @param deadlineMillis how long it waits for an answer
 * @param hasRequestIds whether each request has an id of its own and is non-idempotent
 */
record RequestStream(
    String name,
    String key,
    String service,
    double requestsPerSecond,
    long serviceMillis,
    String urgency,
    long deadlineMillis,
    boolean hasRequestIds) {

  static RequestStream parse(String text) {
    Map<String, String> fields =
        Arrays.stream(text.split(";", -1))
            .map(field -> field.split("=", 2))
            .collect(Collectors.toMap(pair -> pair[0], pair -> pair[1]));
    return new RequestStream(
        fields.getOrDefault("name", "stream"),
        fields.getOrDefault("key", ""),
        fields.getOrDefault("service", ""),
        Double.parseDouble(fields.getOrDefault("rate", "10")),
        Long.parseLong(fields.getOrDefault("ms", "20")),
        fields.getOrDefault("urgency", "urgent"),
        Long.parseLong(fields.getOrDefault("deadline", "10000")),
        Boolean.parseBoolean(fields.getOrDefault("named", "false")));
  }
}
