package dev.toucanstall.wire.peer;

import com.fasterxml.jackson.databind.ObjectMapper;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.wire.Decoded;
import dev.toucanstall.wire.json.Mappers;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Encodes and decodes peer messages as MessagePack. Stateless and thread-safe. */
public final class PeerCodec {

  private static final ObjectMapper MAPPER = Mappers.forMessagePack();

  private PeerCodec() {}

  /**
   * Encodes a message.
   *
   * @param message the message
   * @return the bytes
   * @throws UncheckedIOException if the message cannot be encoded
   */
  public static byte[] encode(PeerMessage message) {
    try {
      return MAPPER.writerFor(PeerMessage.class).writeValueAsBytes(message);
    } catch (IOException e) {
      throw new UncheckedIOException("peer message cannot be encoded", e);
    }
  }

  /**
   * Decodes a message.
   *
   * @param bytes the bytes, from an authenticated peer but not trusted to be well-formed
   * @return the message, or the reason why the bytes are malformed
   */
  public static Decoded<PeerMessage> decode(byte[] bytes) {
    try {
      PeerMessage message = MAPPER.readValue(bytes, PeerMessage.class);
      return message == null
          ? new Decoded.Malformed<>("the frame holds nil")
          : new Decoded.Value<>(message);
    } catch (IOException | RuntimeException e) {
      return new Decoded.Malformed<>(e.getClass().getSimpleName());
    }
  }
}
