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
 * One structured log line with a stable event name. It is written on another thread; what does not
 * fit is dropped and counted. Not thread-safe; made and written in one go.
 *
 * <pre>{@code
 * LogLine.of("peer-linked").with("peer", "a1").info(LOG);
 * }</pre>
 */
public final class LogLine {

  /** Name of the appender that writes on a thread of its own. */
  private static final String QUEUE = "queue";

  private static final LogRateLimiter GATE = new LogRateLimiter(System::nanoTime, room());

  private final StringMapMessage message = new StringMapMessage();
  private final String event;

  private LogLine(String event) {
    this.event = event;
    message.with("event", event);
  }

  /** Looks at the queue of the asynchronous appender, if the configuration has one. */
  private static BooleanSupplier room() {
    return LogManager.getContext(false) instanceof LoggerContext context
            && context.getConfiguration().getAppender(QUEUE) instanceof AsyncAppender queue
        ? () -> queue.getQueueRemainingCapacity() > 0
        : () -> true;
  }

  /**
   * Returns what bounds the lines of this process.
   *
   * @return the gate
   */
  public static LogRateLimiter rateLimiter() {
    return GATE;
  }

  /**
   * Begins a line.
   *
   * @param event the stable name of what happened
   * @return the line
   */
  public static LogLine of(String event) {
    return new LogLine(event);
  }

  /**
   * Adds a field.
   *
   * @param name its name
   * @param value its value
   * @return this line
   */
  public LogLine with(String name, Object value) {
    message.with(name, String.valueOf(value));
    return this;
  }

  /**
   * Returns the fields, the name of the event among them.
   *
   * @return the values by name
   */
  public Map<String, String> fields() {
    return message.getData();
  }

  /**
   * Writes the line as information, unless too many are written.
   *
   * @param logger the logger
   */
  public void info(Logger logger) {
    if (GATE.admitsInformation(event)) {
      logger.log(Level.INFO, message);
    }
  }

  /**
   * Writes the line as information also if too many are written, as for a summary of a second.
   *
   * @param logger the logger
   */
  public void summary(Logger logger) {
    if (GATE.admitsWarning(event)) {
      logger.log(Level.INFO, message);
    }
  }

  /**
   * Writes the line as a warning.
   *
   * @param logger the logger
   */
  public void warn(Logger logger) {
    if (GATE.admitsWarning(event)) {
      logger.log(Level.WARN, message);
    }
  }

  /**
   * Writes the line as an error with its cause.
   *
   * @param logger the logger
   * @param cause the cause
   */
  public void error(Logger logger, Throwable cause) {
    if (GATE.admitsWarning(event)) {
      logger.log(Level.ERROR, message, cause);
    }
  }
}
