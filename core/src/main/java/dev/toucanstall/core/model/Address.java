package dev.toucanstall.core.model;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * A TCP address. Immutable. Its text is the authority of a URI.
 *
 * @param host IPv4 address, host name or IPv6 address in brackets
 * @param port port, 1 to 65535
 */
public record Address(String host, int port) {

  private static final int MAX_PORT = 65_535;

  private static final Pattern HOST =
      Pattern.compile("[0-9A-Za-z]([0-9A-Za-z.-]{0,252})|\\[[0-9A-Fa-f:.]{2,45}\\]");

  /**
   * Creates the address.
   *
   * @throws IllegalArgumentException if the host is malformed or the port is not in 1..65535
   */
  public Address {
    if (!HOST.matcher(host).matches()) {
      throw new IllegalArgumentException(
          "host \"%s\" is neither an IP address nor a name".formatted(Names.abbreviate(host)));
    }
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port %d is not in 1..%d".formatted(port, MAX_PORT));
    }
  }

  /**
   * Parses an address of the form "host:port".
   *
   * @param text the text, such as "127.0.0.1:8080"
   * @return the address
   * @throws IllegalArgumentException if the text has no colon, or host or port is invalid
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

  /**
   * Parses an address of the form "host:port".
   *
   * @param text the text, such as "127.0.0.1:8080"
   * @return the address, empty if the text is malformed
   */
  public static Optional<Address> tryParse(String text) {
    try {
      return Optional.of(parse(text));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
