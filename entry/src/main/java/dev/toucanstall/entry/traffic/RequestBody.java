package dev.toucanstall.entry.traffic;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.InputStreamRequestContent;
import org.eclipse.jetty.client.Request.Content;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/**
 * The body of a request. A small one is held whole and can be sent again; a large one is streamed
 * once. Not thread-safe.
 */
final class RequestBody {

  /** Longest body that is held whole, in bytes. */
  static final int MAX_BUFFERED_BYTES = 64 << 10;

  private final byte[] prefix;
  private final @Nullable InputStream remainder;

  private RequestBody(byte[] prefix, @Nullable InputStream remainder) {
    this.prefix = prefix;
    this.remainder = remainder;
  }

  /** Reads the start of a body, or all of it if it is small. */
  static RequestBody read(InputStream input, HttpFields headers) throws IOException {
    if (!headers.contains(HttpHeader.CONTENT_LENGTH)
        && !headers.contains(HttpHeader.TRANSFER_ENCODING)) {
      return new RequestBody(new byte[0], null);
    }
    byte[] prefix = input.readNBytes(MAX_BUFFERED_BYTES + 1);
    return new RequestBody(prefix, prefix.length > MAX_BUFFERED_BYTES ? input : null);
  }

  /** Tells whether the body can be sent a second time. */
  boolean isReplayable() {
    return remainder == null;
  }

  /** Tells whether there is a body. */
  boolean isEmpty() {
    return prefix.length == 0;
  }

  /** Returns the body for an attempt; one that is not replayable may be asked for only once. */
  Content content(String contentType) {
    return remainder == null
        ? new BytesRequestContent(contentType, prefix)
        : new InputStreamRequestContent(
            contentType,
            new SequenceInputStream(new ByteArrayInputStream(prefix), remainder),
            null);
  }
}
