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
 * Loads a certificate chain and private key from PEM files into an SSL context, and again when one
 * of the files changes. Open connections keep the certificate that they were opened with.
 */
final class TlsReloader extends AbstractLifeCycle {

  private static final Logger LOG = LogManager.getLogger(TlsReloader.class);
  private static final Duration CHECK_INTERVAL = Duration.ofSeconds(5);
  private static final String KEY_ALIAS = "caller";

  private final SslContextFactory.Server context;
  private final Path certificateFile;
  private final Path keyFile;
  private @Nullable Thread thread;
  private FileTime loadedModified = FileTime.fromMillis(0);

  TlsReloader(SslContextFactory.Server context, Tls tls) {
    this.context = context;
    this.certificateFile = Path.of(tls.certificateFile());
    this.keyFile = Path.of(tls.keyFile());
    loadInto(context);
  }

  private void loadInto(SslContextFactory factory) {
    try {
      factory.setKeyStore(readKeyStore());
      factory.setKeyStorePassword("");
      loadedModified = lastModified();
    } catch (IOException | GeneralSecurityException e) {
      throw new IllegalStateException(
          "certificate \"%s\" and key \"%s\" cannot be loaded".formatted(certificateFile, keyFile),
          e);
    }
  }

  private KeyStore readKeyStore() throws IOException, GeneralSecurityException {
    KeyStore store = KeyStore.getInstance("PKCS12");
    store.load(null, new char[0]);
    store.setKeyEntry(KEY_ALIAS, readPrivateKey(), new char[0], readCertificateChain());
    return store;
  }

  private Certificate[] readCertificateChain() throws IOException, GeneralSecurityException {
    try (InputStream input = Files.newInputStream(certificateFile)) {
      return CertificateFactory.getInstance("X.509")
          .generateCertificates(input)
          .toArray(new Certificate[0]);
    }
  }

  private PrivateKey readPrivateKey() throws IOException, GeneralSecurityException {
    String pem = Files.readString(keyFile, StandardCharsets.US_ASCII);
    String base64 = pem.replaceAll("-----[A-Z ]+-----", "").replaceAll("\\s", "");
    PKCS8EncodedKeySpec spec = new PKCS8EncodedKeySpec(Base64.getDecoder().decode(base64));
    try {
      return KeyFactory.getInstance("RSA").generatePrivate(spec);
    } catch (GeneralSecurityException e) {
      return KeyFactory.getInstance("EC").generatePrivate(spec);
    }
  }

  private FileTime lastModified() throws IOException {
    FileTime certificateModified = Files.getLastModifiedTime(certificateFile);
    FileTime keyModified = Files.getLastModifiedTime(keyFile);
    return certificateModified.compareTo(keyModified) > 0 ? certificateModified : keyModified;
  }

  @Override
  protected void doStart() {
    thread = Thread.ofVirtual().name("tls-reload").start(this::watchFiles);
  }

  @Override
  protected void doStop() {
    Objects.requireNonNull(thread).interrupt();
  }

  private void watchFiles() {
    try {
      while (true) {
        Thread.sleep(CHECK_INTERVAL);
        reloadIfChanged();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void reloadIfChanged() {
    try {
      if (lastModified().compareTo(loadedModified) > 0) {
        context.reload(this::loadInto);
        LogLine.of("tls-reloaded").with("certificate", certificateFile).info(LOG);
      }
    } catch (Exception e) {
      LogLine.of("tls-reload-failed").with("certificate", certificateFile).error(LOG, e);
    }
  }
}
