package dev.toucanstall.wire.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.wire.peer.Handshake.Identity;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class HandshakeTest {

  private static final String SECRET = "0123456789abcdef";
  private static final AtomicInteger NONCE_COUNTER = new AtomicInteger();

  private static Handshake handshake(String secret) {
    return new Handshake(
        secret.getBytes(StandardCharsets.UTF_8),
        () -> "%016d".formatted(NONCE_COUNTER.incrementAndGet()).getBytes(StandardCharsets.UTF_8));
  }

  private static Identity identity(String name) {
    return new Identity(new MemberId(name), 4);
  }

  private record Results(
      CompletableFuture<Identity> initiator, CompletableFuture<Identity> acceptor) {}

  private static Results connect(Handshake initiator, Handshake acceptor) throws IOException {
    PipedInputStream acceptorIn = new PipedInputStream();
    PipedInputStream initiatorIn = new PipedInputStream();
    DataOutputStream initiatorOut = new DataOutputStream(new PipedOutputStream(acceptorIn));
    DataOutputStream acceptorOut = new DataOutputStream(new PipedOutputStream(initiatorIn));
    return new Results(
        run(initiator, new DataInputStream(initiatorIn), initiatorOut, "e1", true),
        run(acceptor, new DataInputStream(acceptorIn), acceptorOut, "e2", false));
  }

  private static CompletableFuture<Identity> run(
      Handshake handshake,
      DataInputStream in,
      DataOutputStream out,
      String name,
      boolean initiator) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return handshake.run(in, out, identity(name), initiator);
          } catch (IOException e) {
            throw new CompletionException(e);
          }
        });
  }

  @Test
  void bothEndsLearnThePeersIdentity() throws IOException {
    Results results = connect(handshake(SECRET), handshake(SECRET));

    assertThat(results.initiator.join()).isEqualTo(identity("e2"));
    assertThat(results.acceptor.join()).isEqualTo(identity("e1"));
  }

  @Test
  void differentSecretsFailAtBothEnds() throws IOException {
    Results results = connect(handshake(SECRET), handshake("another-secret-16"));

    assertThrows(CompletionException.class, results.initiator::join);
    assertThrows(CompletionException.class, results.acceptor::join);
  }

  @Test
  void reflectedHelloAndProofAreRejected() throws IOException {
    ByteArrayOutputStream helloOut = new ByteArrayOutputStream();
    Handshake handshake =
        new Handshake(
            SECRET.getBytes(StandardCharsets.UTF_8),
            () -> "0000000000000000".getBytes(StandardCharsets.UTF_8));
    assertThrows(
        IOException.class,
        () ->
            handshake.run(
                new DataInputStream(new ByteArrayInputStream(new byte[0])),
                new DataOutputStream(helloOut),
                identity("e1"),
                true));
    byte[] hello = helloOut.toByteArray();
    ByteArrayOutputStream helloAndProofOut = new ByteArrayOutputStream();
    assertThrows(
        IOException.class,
        () ->
            handshake.run(
                new DataInputStream(new ByteArrayInputStream(hello)),
                new DataOutputStream(helloAndProofOut),
                identity("e1"),
                true));
    byte[] helloAndProof = helloAndProofOut.toByteArray();

    assertThrows(
        IOException.class,
        () ->
            handshake.run(
                new DataInputStream(new ByteArrayInputStream(helloAndProof)),
                new DataOutputStream(new ByteArrayOutputStream()),
                identity("e1"),
                true));
  }

  @Test
  void otherVersionIsNamedInTheError() throws IOException {
    ByteArrayOutputStream hello = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(hello);
    out.writeInt(4);
    out.writeInt(99);

    IOException e =
        assertThrows(
            IOException.class,
            () ->
                handshake(SECRET)
                    .run(
                        new DataInputStream(new ByteArrayInputStream(hello.toByteArray())),
                        new DataOutputStream(new ByteArrayOutputStream()),
                        identity("e1"),
                        false));
    assertThat(e).hasMessageThat().contains("version 99");
  }

  @Test
  void frameBeyondLimitIsRejectedBeforeItIsRead() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    new DataOutputStream(bytes).writeInt(Integer.MAX_VALUE);

    assertThrows(
        IOException.class,
        () -> Frames.read(new DataInputStream(new ByteArrayInputStream(bytes.toByteArray()))));
  }

  @Test
  void shortSecretIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> handshake("short"));
  }
}
