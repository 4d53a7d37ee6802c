package dev.toucanstall.testbed.soak;

/**
 * A job of the soak: one lasting step, or two steps of which the second depends on the first.
 *
 * @param id 16 hexadecimal digits
 * @param queue name of the queue and of its service
 * @param count tasks in each step
 * @param millis how long a task takes, in milliseconds; ignored for a lasting one
 * @param cpu what a task requests, in thousandths of a core
 * @param lasting whether its tasks run until the job is cancelled
 */
record SoakJob(String id, String queue, int count, long millis, int cpu, boolean lasting) {

  String path() {
    return "/" + queue + "/" + id;
  }

  /** Returns the body of its submission. */
  String body() {
    String spec = "ms=%d cpu=%d%s".formatted(millis, cpu, lasting ? " lasting" : "");
    String step =
        "\"count\":%d,\"cpu\":%d,\"memMb\":4,\"estimateMs\":%d".formatted(count, cpu, millis);
    return lasting
        ? "{\"spec\":\"%s\",\"steps\":[{%s,\"longRunning\":true,\"mayMiss\":1}]}"
            .formatted(spec, step)
        : "{\"spec\":\"%s\",\"steps\":[{%s},{%s,\"dependsOn\":[0]}]}".formatted(spec, step, step);
  }
}
