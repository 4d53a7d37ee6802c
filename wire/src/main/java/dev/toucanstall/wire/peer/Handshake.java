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
 * Opens a link between two entry instances: both say who they are and prove that they know the
 * shared secret. Immutable and thread-safe.
 *
 * <p>Each side sends a hello with the protocol's version, its name, its incarnation and a nonce,
 * then an HMAC-SHA256 over both hellos with the side's role. A stranger, a replayed hello or
 * another version ends the handshake with an error.
 */
public final class Handshake {

  /** Version of the protocol between peers. */
  public static final int VERSION = 1;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int NONCE_LENGTH = 16;
  private static final int MAX_HELLO = 256;

  private final byte[] secret;
  private final Supplier<byte[]> nonces;

  /**
   * Creates a handshake.
   *
   * @param secret the secret that all entry instances share, at least 16 bytes
   * @param nonces gives 16 random bytes at each call
   * @throws IllegalArgumentException if the secret is too short
   */
  public Handshake(byte[] secret, Supplier<byte[]> nonces) {
    if (secret.length < NONCE_LENGTH) {
      throw new IllegalArgumentException(
          "shared secret has %d bytes, fewer than %d".formatted(secret.length, NONCE_LENGTH));
    }
    this.secret = secret.clone();
    this.nonces = nonces;
  }

  /**
   * Who is at the other end.
   *
   * @param member its name
   * @param incarnation its start
   */
  public record Identity(MemberId member, long incarnation) {}

  /**
   * Runs the handshake.
   *
   * @param in the stream from the other side
   * @param out the stream to the other side
   * @param own who is at this end
   * @param dialled whether this end opened the connection
   * @return who is at the other end
   * @throws IOException if the stream fails or the other side does not prove itself
   */
  public Identity run(DataInputStream in, DataOutputStream out, Identity own, boolean dialled)
      throws IOException {
    byte[] hello = hello(own);
    Frames.write(out, hello);
    out.flush();
    byte[] theirs = Frames.read(in);
    Identity other = parse(theirs);
    Frames.write(out, proof(hello, theirs, dialled));
    out.flush();
    if (!MessageDigest.isEqual(proof(theirs, hello, !dialled), Frames.read(in))) {
      throw new IOException(
          "peer that calls itself \"%s\" does not know the secret".formatted(other.member()));
    }
    return other;
  }

  private byte[] hello(Identity own) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeInt(VERSION);
    out.writeUTF(own.member().value());
    out.writeLong(own.incarnation());
    out.write(nonces.get(), 0, NONCE_LENGTH);
    return bytes.toByteArray();
  }

  private static Identity parse(byte[] hello) throws IOException {
    if (hello.length > MAX_HELLO) {
      throw new IOException("hello of %d bytes is too long".formatted(hello.length));
    }
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(hello));
    int version = in.readInt();
    if (version != VERSION) {
      throw new IOException(
          "peer speaks version %d of the protocol, not %d".formatted(version, VERSION));
    }
    try {
      Identity other = new Identity(new MemberId(in.readUTF()), in.readLong());
      in.readFully(new byte[NONCE_LENGTH]);
      return other;
    } catch (IllegalArgumentException e) {
      throw new IOException("hello names no member", e);
    }
  }

  private byte[] proof(byte[] prover, byte[] verifier, boolean dialled) throws IOException {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
      mac.update((dialled ? "dialled" : "accepted").getBytes(StandardCharsets.US_ASCII));
      mac.update(prover);
      mac.update(verifier);
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IOException("HMAC-SHA256 does not exist in this JDK", e);
    }
  }
}
