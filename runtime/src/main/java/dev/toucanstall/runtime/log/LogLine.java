package dev.toucanstall.runtime.log;

import java.util.Map;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * One structured log line with a stable event name. Not thread-safe; made and written in one go.
 *
 * <pre>{@code
 * LogLine.of("peer-linked").with("peer", "a1").info(LOG);
 * }</pre>
 */
public final class LogLine {

  private final StringMapMessage message = new StringMapMessage();

  private LogLine(String event) {
    message.with("event", event);
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
   * Writes the line as information.
   *
   * @param logger the logger
   */
  public void info(Logger logger) {
    logger.log(Level.INFO, message);
  }

  /**
   * Writes the line as a warning.
   *
   * @param logger the logger
   */
  public void warn(Logger logger) {
    logger.log(Level.WARN, message);
  }

  /**
   * Writes the line as an error with its cause.
   *
   * @param logger the logger
   * @param cause the cause
   */
  public void error(Logger logger, Throwable cause) {
    logger.log(Level.ERROR, message, cause);
  }
}
