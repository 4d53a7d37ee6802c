package dev.toucanstall.core.model;

/**
 * A TCP address.
 *
 * @param host the IP number
 * @param port the port, 1 to 65535
 */
public record Address(String host, int port) {

  private static final int MAX_PORT = 65_535;

  /**
   * Creates the address.
   *
   * @throws IllegalArgumentException if the host is empty or the port out of range
   */
  public Address {
    if (host.isBlank()) {
      throw new IllegalArgumentException("host is blank");
    }
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port %d is not in 1..%d".formatted(port, MAX_PORT));
    }
  }

  /**
   * Parses "host:port".
   *
   * @param text the text, such as "127.0.0.1:8080"
   * @return the address
   * @throws IllegalArgumentException if the text is malformed
   */
  public static Address parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException(
          "address \"%s\" does not have the form host:port".formatted(Names.abbreviate(text)));
    }
    try {
      return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(
          "address \"%s\" does not have a numeric port".formatted(Names.abbreviate(text)), e);
    }
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
