package dev.toucanstall.wire.peer;

import dev.toucanstall.core.model.MemberId;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.function.Supplier;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Mutual authentication of two entry instances that open a link: each sends its identity and proves
 * that it knows the shared secret. Immutable and thread-safe.
 *
 * <p>Each side sends a hello with the protocol version, its member name, its incarnation and a
 * nonce, then an HMAC-SHA256 over its role and both hellos. The role prevents that a proof is
 * reflected to its sender, the nonces that it is replayed. The handshake fails if the secrets or
 * the versions differ.
 */
public final class Handshake {

  /** Version of the protocol between peers; both sides must use the same. */
  public static final int VERSION = 1;

  private static final String MAC_ALGORITHM = "HmacSHA256";
  private static final int NONCE_BYTES = 16;
  private static final int MAX_HELLO_BYTES = 256;

  private final byte[] secret;
  private final Supplier<byte[]> nonceSource;

  /**
   * Creates a handshake.
   *
   * @param secret the secret that all entry instances share, at least 16 bytes
   * @param nonceSource returns 16 random bytes at each call
   * @throws IllegalArgumentException if the secret has fewer than 16 bytes
   */
  public Handshake(byte[] secret, Supplier<byte[]> nonceSource) {
    if (secret.length < NONCE_BYTES) {
      throw new IllegalArgumentException(
          "shared secret has %d bytes, fewer than %d".formatted(secret.length, NONCE_BYTES));
    }
    this.secret = secret.clone();
    this.nonceSource = nonceSource;
  }

  /**
   * Identity of an entry instance at one end of a link.
   *
   * @param member name of the entry instance
   * @param incarnation incarnation of its process
   */
  public record Identity(MemberId member, long incarnation) {}

  /**
   * Runs the handshake; blocks until the peer has answered.
   *
   * @param in the stream from the peer
   * @param out the stream to the peer
   * @param own the identity of this end
   * @param initiator whether this end opened the connection
   * @return the identity of the peer
   * @throws IOException if a stream fails, the peer's hello is malformed or of another version, or
   *     the peer does not prove that it knows the secret
   */
  public Identity run(DataInputStream in, DataOutputStream out, Identity own, boolean initiator)
      throws IOException {
    byte[] ownHello = encodeHello(own);
    Frames.write(out, ownHello);
    out.flush();
    byte[] peerHello = Frames.read(in);
    Identity peer = decodeHello(peerHello);
    Frames.write(out, computeProof(ownHello, peerHello, initiator));
    out.flush();
    if (!MessageDigest.isEqual(computeProof(peerHello, ownHello, !initiator), Frames.read(in))) {
      throw new IOException(
          "peer \"%s\" does not prove that it knows the shared secret".formatted(peer.member()));
    }
    return peer;
  }

  private byte[] encodeHello(Identity own) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeInt(VERSION);
    out.writeUTF(own.member().value());
    out.writeLong(own.incarnation());
    out.write(nonceSource.get(), 0, NONCE_BYTES);
    return bytes.toByteArray();
  }

  private static Identity decodeHello(byte[] hello) throws IOException {
    if (hello.length > MAX_HELLO_BYTES) {
      throw new IOException(
          ("hello of %d bytes exceeds the limit of " + MAX_HELLO_BYTES).formatted(hello.length));
    }
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(hello));
    int version = in.readInt();
    if (version != VERSION) {
      throw new IOException(
          "peer uses protocol version %d, expected %d".formatted(version, VERSION));
    }
    try {
      Identity peer = new Identity(new MemberId(in.readUTF()), in.readLong());
      in.readFully(new byte[NONCE_BYTES]);
      return peer;
    } catch (IllegalArgumentException e) {
      throw new IOException("hello contains no valid member name", e);
    }
  }

  private byte[] computeProof(byte[] proverHello, byte[] verifierHello, boolean initiator)
      throws IOException {
    try {
      Mac mac = Mac.getInstance(MAC_ALGORITHM);
      mac.init(new SecretKeySpec(secret, MAC_ALGORITHM));
      mac.update((initiator ? "dialled" : "accepted").getBytes(StandardCharsets.US_ASCII));
      mac.update(proverHello);
      mac.update(verifierHello);
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IOException("HMAC-SHA256 is not available in this JDK", e);
    }
  }
}
