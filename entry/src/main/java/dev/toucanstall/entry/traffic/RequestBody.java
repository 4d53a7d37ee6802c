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
  static final int HELD_BYTES = 64 << 10;

  private final byte[] start;
  private final @Nullable InputStream rest;

  private RequestBody(byte[] start, @Nullable InputStream rest) {
    this.start = start;
    this.rest = rest;
  }

  /** Reads the start of a body, or all of it if it is small. */
  static RequestBody read(InputStream in, HttpFields headers) throws IOException {
    if (!headers.contains(HttpHeader.CONTENT_LENGTH)
        && !headers.contains(HttpHeader.TRANSFER_ENCODING)) {
      return new RequestBody(new byte[0], null);
    }
    byte[] start = in.readNBytes(HELD_BYTES + 1);
    return new RequestBody(start, start.length > HELD_BYTES ? in : null);
  }

  /** Tells whether the body can be sent a second time. */
  boolean isReplayable() {
    return rest == null;
  }

  /** Tells whether there is a body. */
  boolean isEmpty() {
    return start.length == 0;
  }

  /** Returns the body for an attempt; one that is not replayable may be asked for only once. */
  Content content(String type) {
    return rest == null
        ? new BytesRequestContent(type, start)
        : new InputStreamRequestContent(
            type, new SequenceInputStream(new ByteArrayInputStream(start), rest), null);
  }
}
