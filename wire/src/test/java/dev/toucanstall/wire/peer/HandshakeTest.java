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
  private static final AtomicInteger NONCE = new AtomicInteger();

  private static Handshake handshake(String secret) {
    return new Handshake(
        secret.getBytes(StandardCharsets.UTF_8),
        () -> "%016d".formatted(NONCE.incrementAndGet()).getBytes(StandardCharsets.UTF_8));
  }

  private static Identity identity(String name) {
    return new Identity(new MemberId(name), 4);
  }

  private record Ends(
      CompletableFuture<Identity> dialling, CompletableFuture<Identity> accepting) {}

  private static Ends meet(Handshake first, Handshake second) throws IOException {
    PipedInputStream toSecond = new PipedInputStream();
    PipedInputStream toFirst = new PipedInputStream();
    DataOutputStream fromFirst = new DataOutputStream(new PipedOutputStream(toSecond));
    DataOutputStream fromSecond = new DataOutputStream(new PipedOutputStream(toFirst));
    return new Ends(
        run(first, new DataInputStream(toFirst), fromFirst, "e1", true),
        run(second, new DataInputStream(toSecond), fromSecond, "e2", false));
  }

  private static CompletableFuture<Identity> run(
      Handshake handshake, DataInputStream in, DataOutputStream out, String name, boolean dialled) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return handshake.run(in, out, identity(name), dialled);
          } catch (IOException e) {
            throw new CompletionException(e);
          }
        });
  }

  @Test
  void bothEndsLearnWhoTheOtherIs() throws IOException {
    Ends ends = meet(handshake(SECRET), handshake(SECRET));

    assertThat(ends.dialling.join()).isEqualTo(identity("e2"));
    assertThat(ends.accepting.join()).isEqualTo(identity("e1"));
  }

  @Test
  void strangerGetsNowhere() throws IOException {
    Ends ends = meet(handshake(SECRET), handshake("another-secret-16"));

    assertThrows(CompletionException.class, ends.dialling::join);
    assertThrows(CompletionException.class, ends.accepting::join);
  }

  @Test
  void echoOfTheOwnHelloIsNoProof() throws IOException {
    ByteArrayOutputStream sent = new ByteArrayOutputStream();
    Handshake fixed =
        new Handshake(
            SECRET.getBytes(StandardCharsets.UTF_8),
            () -> "0000000000000000".getBytes(StandardCharsets.UTF_8));
    assertThrows(
        IOException.class,
        () ->
            fixed.run(
                new DataInputStream(new ByteArrayInputStream(new byte[0])),
                new DataOutputStream(sent),
                identity("e1"),
                true));
    byte[] echo = sent.toByteArray();
    ByteArrayOutputStream both = new ByteArrayOutputStream();
    assertThrows(
        IOException.class,
        () ->
            fixed.run(
                new DataInputStream(new ByteArrayInputStream(echo)),
                new DataOutputStream(both),
                identity("e1"),
                true));
    byte[] reflected = both.toByteArray();

    assertThrows(
        IOException.class,
        () ->
            fixed.run(
                new DataInputStream(new ByteArrayInputStream(reflected)),
                new DataOutputStream(new ByteArrayOutputStream()),
                identity("e1"),
                true));
  }

  @Test
  void otherVersionIsNamed() throws IOException {
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
  void longFrameIsRefusedBeforeItIsRead() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    new DataOutputStream(bytes).writeInt(Integer.MAX_VALUE);

    assertThrows(
        IOException.class,
        () -> Frames.read(new DataInputStream(new ByteArrayInputStream(bytes.toByteArray()))));
  }

  @Test
  void shortSecretIsRefused() {
    assertThrows(IllegalArgumentException.class, () -> handshake("short"));
  }
}
