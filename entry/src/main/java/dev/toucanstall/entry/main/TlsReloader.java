package dev.toucanstall.entry.main;

import dev.toucanstall.entry.config.EntryConfig.Tls;
import dev.toucanstall.runtime.log.LogLine;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.spec.PKCS8EncodedKeySpec;
import java.time.Duration;
import java.util.Base64;
import java.util.Objects;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.jspecify.annotations.Nullable;

/**
 * Reads a certificate and key from PEM files into an SSL context, and again whenever the files
 * change. Connections that are open keep what they have.
 */
final class TlsReloader extends AbstractLifeCycle {

  private static final Logger LOG = LogManager.getLogger(TlsReloader.class);
  private static final Duration EVERY = Duration.ofSeconds(5);
  private static final String ENTRY = "caller";

  private final SslContextFactory.Server context;
  private final Path certificate;
  private final Path key;
  private @Nullable Thread thread;
  private FileTime loaded = FileTime.fromMillis(0);

  TlsReloader(SslContextFactory.Server context, Tls tls) {
    this.context = context;
    this.certificate = Path.of(tls.certificateFile());
    this.key = Path.of(tls.keyFile());
    fill(context);
  }

  private void fill(SslContextFactory factory) {
    try {
      factory.setKeyStore(read());
      factory.setKeyStorePassword("");
      loaded = changed();
    } catch (IOException | GeneralSecurityException e) {
      throw new IllegalStateException(
          "certificate \"%s\" and key \"%s\" do not fit".formatted(certificate, key), e);
    }
  }

  private KeyStore read() throws IOException, GeneralSecurityException {
    KeyStore store = KeyStore.getInstance("PKCS12");
    store.load(null, new char[0]);
    store.setKeyEntry(ENTRY, privateKey(), new char[0], chain());
    return store;
  }

  private Certificate[] chain() throws IOException, GeneralSecurityException {
    try (InputStream in = Files.newInputStream(certificate)) {
      return CertificateFactory.getInstance("X.509")
          .generateCertificates(in)
          .toArray(new Certificate[0]);
    }
  }

  private PrivateKey privateKey() throws IOException, GeneralSecurityException {
    String pem = Files.readString(key, StandardCharsets.US_ASCII);
    String base64 = pem.replaceAll("-----[A-Z ]+-----", "").replaceAll("\\s", "");
    PKCS8EncodedKeySpec spec = new PKCS8EncodedKeySpec(Base64.getDecoder().decode(base64));
    try {
      return KeyFactory.getInstance("RSA").generatePrivate(spec);
    } catch (GeneralSecurityException e) {
      return KeyFactory.getInstance("EC").generatePrivate(spec);
    }
  }

  private FileTime changed() throws IOException {
    FileTime first = Files.getLastModifiedTime(certificate);
    FileTime second = Files.getLastModifiedTime(key);
    return first.compareTo(second) > 0 ? first : second;
  }

  @Override
  protected void doStart() {
    thread = Thread.ofVirtual().name("tls-reload").start(this::watch);
  }

  @Override
  protected void doStop() {
    Objects.requireNonNull(thread).interrupt();
  }

  private void watch() {
    try {
      while (true) {
        Thread.sleep(EVERY);
        reloadIfChanged();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void reloadIfChanged() {
    try {
      if (changed().compareTo(loaded) > 0) {
        context.reload(this::fill);
        LogLine.of("tls-reloaded").with("certificate", certificate).info(LOG);
      }
    } catch (Exception e) {
      LogLine.of("tls-reload-failed").with("certificate", certificate).error(LOG, e);
    }
  }
}
