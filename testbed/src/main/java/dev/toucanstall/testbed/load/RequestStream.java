package dev.toucanstall.testbed.load;

import java.util.Arrays;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Stream of similar requests, written as {@code name=a;key=K;service=s;rate=50;ms=20}.
 *
 * @param name prefix of the stream's values in the result
 * @param key API key of the requests; empty for none
 * @param service name of the requested service
 * @param requestsPerSecond mean rate
 * @param serviceMillis duration of each request at the backend server, in milliseconds
 * @param urgency "urgent" or "batch"
 * @param deadlineMillis time to wait for an answer, in milliseconds
 * @param hasRequestIds whether the requests are non-idempotent, each with a request id of its own
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
