package dev.toucanstall.runtime.log;

import java.util.Map;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Structured log line with a stable event name. Another thread writes it; lines beyond the limits
 * of {@link LogRateLimiter} are dropped and counted. Not thread-safe.
 *
 * <pre>{@code
 * LogLine.of("peer-linked").with("peer", "a1").info(LOG);
 * }</pre>
 */
public final class LogLine {

  /** Name of the asynchronous appender in log4j2.xml. */
  private static final String QUEUE_APPENDER = "queue";

  private static final LogRateLimiter RATE_LIMITER =
      new LogRateLimiter(System::nanoTime, queueCapacityCheck());

  private final StringMapMessage message = new StringMapMessage();
  private final String event;

  private LogLine(String event) {
    this.event = event;
    message.with("event", event);
  }

  /** Returns a check that is always true if the configuration has no asynchronous appender. */
  private static BooleanSupplier queueCapacityCheck() {
    return LogManager.getContext(false) instanceof LoggerContext context
            && context.getConfiguration().getAppender(QUEUE_APPENDER)
                instanceof AsyncAppender appender
        ? () -> appender.getQueueRemainingCapacity() > 0
        : () -> true;
  }

  /**
   * Returns the rate limiter of all log lines of this process.
   *
   * @return the rate limiter
   */
  public static LogRateLimiter rateLimiter() {
    return RATE_LIMITER;
  }

  /**
   * Creates a line, which is not yet written.
   *
   * @param event stable name of the log event
   * @return the line
   */
  public static LogLine of(String event) {
    return new LogLine(event);
  }

  /**
   * Adds a field.
   *
   * @param name name of the field
   * @param value value of the field, written as text
   * @return this line
   */
  public LogLine with(String name, Object value) {
    message.with(name, String.valueOf(value));
    return this;
  }

  /**
   * Returns the fields, including the name of the event.
   *
   * @return the values by field name
   */
  public Map<String, String> fields() {
    return message.getData();
  }

  /**
   * Writes the line at level INFO, subject to the rate limit.
   *
   * @param logger the logger
   */
  public void info(Logger logger) {
    if (RATE_LIMITER.admitLimited(event)) {
      logger.log(Level.INFO, message);
    }
  }

  /**
   * Writes the line at level INFO, exempt from the rate limit, as for a summary once a second.
   *
   * @param logger the logger
   */
  public void summary(Logger logger) {
    if (RATE_LIMITER.admitUnlimited(event)) {
      logger.log(Level.INFO, message);
    }
  }

  /**
   * Writes the line at level WARN.
   *
   * @param logger the logger
   */
  public void warn(Logger logger) {
    if (RATE_LIMITER.admitUnlimited(event)) {
      logger.log(Level.WARN, message);
    }
  }

  /**
   * Writes the line at level ERROR with the stack trace of its cause.
   *
   * @param logger the logger
   * @param cause the cause
   */
  public void error(Logger logger, Throwable cause) {
    if (RATE_LIMITER.admitUnlimited(event)) {
      logger.log(Level.ERROR, message, cause);
    }
  }
}
