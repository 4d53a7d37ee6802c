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
 * The body of a request. A small body is buffered whole and can be sent again; a large one is
 * streamed once. Not thread-safe.
 */
final class RequestBody {

  /** Longest body that is buffered whole, in bytes. */
  static final int MAX_BUFFERED_BYTES = 64 << 10;

  private final byte[] prefix;

  /** The rest of a body that is too long to buffer, null if the prefix is the whole body. */
  private final @Nullable InputStream remainder;

  private RequestBody(byte[] prefix, @Nullable InputStream remainder) {
    this.prefix = prefix;
    this.remainder = remainder;
  }

  /**
   * Buffers a small body whole, or the start of a large one. A request with neither a
   * Content-Length nor a Transfer-Encoding header has an empty body.
   */
  static RequestBody read(InputStream input, HttpFields headers) throws IOException {
    if (!headers.contains(HttpHeader.CONTENT_LENGTH)
        && !headers.contains(HttpHeader.TRANSFER_ENCODING)) {
      return new RequestBody(new byte[0], null);
    }
    byte[] prefix = input.readNBytes(MAX_BUFFERED_BYTES + 1);
    return new RequestBody(prefix, prefix.length > MAX_BUFFERED_BYTES ? input : null);
  }

  /** Tells whether the body can be sent again. */
  boolean isReplayable() {
    return remainder == null;
  }

  boolean isEmpty() {
    return prefix.length == 0;
  }

  /** Returns the body for an attempt; to be called only once if the body is not replayable. */
  Content content(String contentType) {
    return remainder == null
        ? new BytesRequestContent(contentType, prefix)
        : new InputStreamRequestContent(
            contentType,
            new SequenceInputStream(new ByteArrayInputStream(prefix), remainder),
            null);
  }
}
